package org.siskinramp.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.siskinramp.daemon.exchange.ScriptedServer;
import org.siskinramp.daemon.settings.SettingsFile;

/** Runs an entry host with all its parts while the platform answers every call with 503. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
final class EntryHostDaemonTest {

    private static final String TOKEN = "sixteen-characters";

    @TempDir private Path directory;
    private final HttpClient client = HttpClient.newHttpClient();
    private ScriptedServer platform;
    private EntryHostDaemon daemon;

    @BeforeEach
    void start() throws IOException {
        platform =
                new ScriptedServer(
                        request -> ScriptedServer.reply("503 Unavailable", "{\"error\":\"down\"}"));
        Files.writeString(directory.resolve("token"), TOKEN);
        Path file =
                Files.writeString(
                        directory.resolve("settings.toml"),
                        """
                        [host]
                        name = "entry-1"
                        availability_zone = "almaty-1"
                        [caller_side]
                        address = "127.0.0.1:0"
                        [peer_link]
                        address = "127.0.0.1:0"
                        [administration]
                        address = "127.0.0.1:0"
                        token_file = "token"
                        [platform]
                        address = "http://%s"
                        [control]
                        drain_ms = 0
                        stop_timeout_ms = 100
                        """
                                .formatted(platform.address()));
        daemon =
                DaggerEntryHostComponent.factory()
                        .create(SettingsFile.check(file).settings())
                        .daemon();
        daemon.start();
    }

    @AfterEach
    void stop() throws IOException {
        daemon.stop();
        platform.close();
    }

    @Test
    void withoutThePlatformItIsNotReadyAndRefusesCommands() throws Exception {
        assertEquals(503, get("/ready").statusCode());
        assertEquals(200, get("/live").statusCode());

        HttpResponse<String> refusal =
                send(administration("/v1/availability-zones/almaty-1/out").POST(emptyBody()));
        assertEquals(503, refusal.statusCode());
        assertTrue(refusal.body().startsWith("{\"code\":410,\"name\":\"NO_AUTHORITY\","));
    }

    @Test
    void statusAndMetricsAreServedWithoutThePlatform() throws Exception {
        String status = get("/v1/status").body();
        assertTrue(status.startsWith("{\"host\":\"entry-1\","), status);
        assertTrue(status.contains("\"ready\":false,\"authority\":false,"), status);

        String metrics = get("/metrics").body();
        assertTrue(metrics.contains("\nsiskinramp_slots_held 0.0\n"), metrics);
        assertTrue(metrics.contains("\nsiskinramp_authority_left_milliseconds 0.0\n"), metrics);
        assertTrue(metrics.contains("\nprocess_cpu_seconds_total "), metrics);
    }

    @Test
    void stopClosesTheListeners() throws Exception {
        HttpRequest.Builder live = administration("/live").GET();
        assertEquals(200, send(live).statusCode());

        assertTrue(daemon.stop());

        assertThrows(IOException.class, () -> send(live));
    }

    private HttpResponse<String> get(String path) throws IOException, InterruptedException {
        return send(administration(path).GET());
    }

    private HttpRequest.Builder administration(String path) {
        return HttpRequest.newBuilder(URI.create("http:/" + daemon.administrationAddress() + path))
                .header("Authorization", "Bearer " + TOKEN);
    }

    private HttpResponse<String> send(HttpRequest.Builder request)
            throws IOException, InterruptedException {
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private static HttpRequest.BodyPublisher emptyBody() {
        return HttpRequest.BodyPublishers.noBody();
    }
}
