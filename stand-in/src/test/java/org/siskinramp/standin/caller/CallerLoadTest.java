package org.siskinramp.standin.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.siskinramp.standin.TestClient;
import org.siskinramp.standin.WorkerScheduler;
import org.siskinramp.standin.server.BackendServerStandIn;
import org.siskinramp.standin.server.Distribution;
import org.siskinramp.standin.server.ServerSettings;
import org.siskinramp.time.SystemClock;

final class CallerLoadTest {

    private final WorkerScheduler scheduler = new WorkerScheduler(2);
    private final BackendServerStandIn first = server("first");
    private final BackendServerStandIn second = server("second");

    @AfterEach
    void stop() {
        first.close();
        second.close();
        scheduler.close();
    }

    @Test
    void everyRequestIsAccountedFor() {
        LoadReport total = run(0);
        assertEquals(100, total.sent());
        assertEquals(100, total.answeredOnce());
        assertEquals(0, total.crossed());
        assertEquals(0, total.judge().doubled());
        assertTrue(total.p50Milliseconds() >= 1);
    }

    @Test
    void requestsThatRunTwiceAreCounted() {
        LoadReport total = run(1);
        long orders = total.crossed();
        assertTrue(orders > 0);
        assertEquals(orders, total.judge().doubled());
        assertEquals(100 - orders, total.answeredOnce());
    }

    @Test
    void answersOfOtherRequestsAreCounted() {
        new TestClient(first.address()).post("/-/faults", "{\"cross_answers\":true}");
        assertTrue(run(0).crossed() > 0);
    }

    @Test
    void refusedRequestsAreCountedAsNotRun() {
        new TestClient(first.address()).post("/-/faults", "{\"drain\":true}");
        LoadReport total = run(0);
        assertTrue(total.notRun() > 0);
        assertEquals(100, total.notRun() + total.answeredOnce());
        assertEquals(0, total.judge().falselyNotRun());
    }

    @Test
    void targetThatRefusesConnectionsIsSkipped() {
        second.close();
        LoadReport total = run(0, List.of(second.address(), first.address()), List.of());
        assertEquals(100, total.answeredOnce());
    }

    private LoadReport run(double resendShare) {
        List<String> addresses = List.of(first.address(), second.address());
        return run(resendShare, addresses, addresses);
    }

    private LoadReport run(double resendShare, List<String> targets, List<String> verifiedServers) {
        CallerSettings settings =
                new CallerSettings(
                        targets,
                        verifiedServers,
                        LoadKind.parseAll("read:GET:/schedule:1,order:POST:/orders:1"),
                        100,
                        0,
                        500,
                        3,
                        7,
                        10_000,
                        resendShare,
                        1000,
                        LoadShape.STEADY);
        try (CallerLoad load = new CallerLoad(settings, new SystemClock(), scheduler)) {
            return load.run().join().total();
        }
    }

    private BackendServerStandIn server(String name) {
        return BackendServerStandIn.start(
                ServerSettings.builder()
                        .name(name)
                        .slots(50)
                        .meanServiceTimeMilliseconds(20)
                        .distribution(Distribution.CONSTANT)
                        .build(),
                new SystemClock(),
                scheduler);
    }
}
