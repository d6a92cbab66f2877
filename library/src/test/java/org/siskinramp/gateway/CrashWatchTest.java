package org.siskinramp.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.siskinramp.log.RequestMeasures;
import org.siskinramp.request.Answer;
import org.siskinramp.request.Request;
import org.siskinramp.request.RequestKey;
import org.siskinramp.request.RequestKind;
import org.siskinramp.route.CallerLimits;
import org.siskinramp.route.Route;
import org.siskinramp.route.RouteTable;
import org.siskinramp.route.RoutedService;
import org.siskinramp.route.ServiceShare;
import org.siskinramp.time.VirtualTime;

/** Servers end under one request, beside many that stand there by chance. */
class CrashWatchTest {

    private static final String FATAL = "fatal";
    private static final Route READ =
            Route.builder()
                    .name("read")
                    .host("h")
                    .prefix("/read/")
                    .idempotent(true)
                    .timeLimitMilliseconds(1_000)
                    .objectiveMilliseconds(300)
                    .attemptLimit(1)
                    .shares(List.of(new ServiceShare("s", 1)))
                    .build();

    private final VirtualTime time = new VirtualTime();
    private final ModelServers servers = new ModelServers(time, 7);
    private final List<String> events = new ArrayList<>();
    private final Gateway gateway =
            new Gateway(
                    new GatewayEnvironment(
                            "zone-1",
                            time,
                            time,
                            servers,
                            event -> events.add(event.toLine()),
                            (counter, amount) -> {},
                            RequestMeasures.NONE,
                            RandomSource.XO_RO_SHI_RO_128_PP.create(1)),
                    GatewayOptions.builder().build(),
                    1);
    private int requests;

    private ModelServers.Model publish(String name) {
        gateway.follow(
                new RouteTable(
                        1,
                        List.of(READ),
                        List.of(new RoutedService("s", "/health", 100, 5)),
                        new CallerLimits(1_000, 1_000, 1_000, 1_000)));
        ModelServers.Model server = servers.add(name, "zone-1", 4, 100);
        gateway.put(server.entry());
        return server;
    }

    private CompletableFuture<Answer> send(String content) {
        long now = time.monotonicMilliseconds();
        return gateway.handle(
                Request.builder()
                        .key(new RequestKey("", "request-" + requests++))
                        .service("s")
                        .kind(new RequestKind("read", "*", "/", true, 1))
                        .method("GET")
                        .target("/read/" + content)
                        .contentHash(content)
                        .arrivedMilliseconds(now)
                        .deadlineMilliseconds(now + READ.timeLimitMilliseconds())
                        .build(),
                READ);
    }

    private List<String> crashes(String content) {
        return events.stream()
                .filter(line -> line.startsWith("event=crash content=" + content + " "))
                .toList();
    }

    @Test
    void namesTheRequestsUnderWhichAServerEnded() {
        publish("a").endOn(FATAL);
        var unused = send("beside");
        time.advance(20);
        unused = send(FATAL);
        time.advance(500);
        assertEquals(1, crashes(FATAL).size());
        assertEquals(1, crashes("beside").size());
    }

    @Test
    void aConnectionThatBreaksOnAServerThatLivesNamesNone() {
        publish("a").behave(ModelServers.Behaviour.LOSE_ANSWERS);
        var unused = send(FATAL);
        time.advance(5_000);
        assertEquals(0, crashes(FATAL).size());
    }

    @Test
    void excusesWhatAnotherServerRanToItsEndJustBefore() {
        ModelServers.Model server = publish("a");
        var unused = send("popular");
        time.advance(300);
        server.endOn(FATAL);
        unused = send("popular");
        time.advance(20);
        unused = send(FATAL);
        time.advance(500);
        assertEquals(0, crashes("popular").size());
        assertEquals(1, crashes(FATAL).size());
    }

    @Test
    void aNewStartProvesThatTheServerEnded() {
        ModelServers.Model server = publish("a").endOn(FATAL);
        var unused = send(FATAL);
        time.advance(10);
        server.startAgain();
        gateway.put(server.entry());
        assertEquals(1, crashes(FATAL).size());
    }

    @Test
    void aServerThatWasLeavingMayEndUnderAnyRequest() {
        ModelServers.Model server = publish("a");
        var unused = send("beside");
        time.advance(20);
        gateway.put(server.leave().entry());
        server.end();
        time.advance(500);
        assertEquals(0, crashes("beside").size());
    }
}
