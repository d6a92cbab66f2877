package org.siskinramp.daemon.administration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.siskinramp.daemon.metrics.Metrics;

final class AdministrationServerTest {

    private static final int MORE_THAN_THE_LIMIT = 260;
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(10);
    private static final String RIGHT_TOKEN = "Bearer abcdefghijklmnop";

    private final FakeAdministration administration = new FakeAdministration();
    private final HttpClient client = HttpClient.newHttpClient();

    @TempDir private Path directory;
    private AdministrationServer server;

    @BeforeEach
    void start() throws IOException {
        Path tokenFile = Files.writeString(directory.resolve("token"), "abcdefghijklmnop\n");
        server =
                new AdministrationServer(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        AdministrationToken.read(tokenFile),
                        administration,
                        administration,
                        new Metrics(),
                        event -> {});
        server.start();
    }

    @AfterEach
    void stop() throws IOException {
        server.stop();
    }

    @Test
    void withoutTheTokenNoCommandIsCarriedOut() throws Exception {
        for (String token : List.of("Bearer abcdefghijklmnoq", "abcdefghijklmnop", "")) {
            HttpResponse<String> answer = send("POST", "/v1/tickets", token, "{}");

            assertEquals(401, answer.statusCode());
            assertTrue(answer.body().startsWith("{\"code\":401,\"name\":\"UNAUTHORIZED\","));
        }
        assertEquals(List.of(), administration.commands());
    }

    /** Guards against a token that is taken for the one before it on the connection. */
    @Test
    void aTokenInOtherLettersIsRefusedOnTheConnectionOfTheRightOne() throws Exception {
        try (Socket socket =
                new Socket(server.address().getAddress(), server.address().getPort())) {
            socket.setSoTimeout((int) ANSWER_TIMEOUT.toMillis());
            assertEquals("HTTP/1.1 200", statusOnConnection(socket, RIGHT_TOKEN));
            assertEquals("HTTP/1.1 401", statusOnConnection(socket, "Bearer ABCDEFGHIJKLMNOP"));
            assertEquals("HTTP/1.1 200", statusOnConnection(socket, RIGHT_TOKEN));
        }
        assertEquals(2, administration.commands().size());
    }

    private static String statusOnConnection(Socket socket, String authorization)
            throws IOException {
        String request =
                "POST /v1/hosts/entry-1/in HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
                        + "Authorization: "
                        + authorization
                        + "\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        StringBuilder answer = new StringBuilder();
        while (answer.indexOf("}\n") < 0) {
            int next = socket.getInputStream().read();
            assertTrue(next >= 0, answer::toString);
            answer.append((char) next);
        }
        return answer.substring(0, "HTTP/1.1 200".length());
    }

    @Test
    void livenessReadinessAndMetricsNeedNoToken() throws Exception {
        assertEquals(200, send("GET", "/live", "", "").statusCode());
        assertEquals(503, send("GET", "/ready", "", "").statusCode());
        assertTrue(send("GET", "/metrics", "", "").body().contains("siskinramp_requests_total"));
    }

    @Test
    void commandsAreCarriedOut() throws Exception {
        HttpResponse<String> answer = send("POST", "/v1/tickets", RIGHT_TOKEN, "{\"number\":7}");
        send("POST", "/v1/availability-zones/almaty-1/out", RIGHT_TOKEN, "");
        send("POST", "/v1/hosts/entry-1/in", RIGHT_TOKEN, "");

        assertEquals(200, answer.statusCode());
        assertEquals(
                "{\"number\":7,\"configuration_version\":12,\"repeated\":false}\n", answer.body());
        assertEquals(
                List.of(
                        "ticket {\"number\":7}",
                        "availability zone almaty-1 OUT",
                        "host entry-1 IN"),
                administration.commands());
    }

    @Test
    void aRefusalHasItsCodeStatusAndRetryAfter() throws Exception {
        HttpResponse<String> stale = send("POST", "/v1/tickets", RIGHT_TOKEN, "stale");
        HttpResponse<String> unavailable = send("POST", "/v1/tickets", RIGHT_TOKEN, "unavailable");

        assertEquals(409, stale.statusCode());
        assertEquals(
                "{\"code\":404,\"name\":\"TICKET_STALE\",\"message\":\"a later change ticket has"
                        + " changed an object of this one: service=dispatch\"}\n",
                stale.body());
        assertEquals(503, unavailable.statusCode());
        assertEquals("2", unavailable.headers().firstValue("Retry-After").orElse(""));
    }

    @Test
    void queriesAnswerWithEncodedNames() throws Exception {
        String history = send("GET", "/v1/requests/crew%2F7/a%20b%25", RIGHT_TOKEN, "").body();

        assertTrue(history.startsWith("{\"caller\":\"crew/7\",\"request_id\":\"a b%\","));
        assertTrue(
                send("GET", "/v1/tickets/7", RIGHT_TOKEN, "")
                        .body()
                        .contains("\"in_force_hosts\":[\"entry-1\"]"));
        assertEquals(404, send("GET", "/v1/tickets/8", RIGHT_TOKEN, "").statusCode());
    }

    @Test
    void unknownResourcesAreRefused() throws Exception {
        for (String path :
                List.of("/v1/hosts/entry-1/removed", "/v1/tickets/7", "/v2/tickets", "/")) {
            HttpResponse<String> answer = send("POST", path, RIGHT_TOKEN, "");

            assertEquals(404, answer.statusCode());
            assertTrue(answer.body().startsWith("{\"code\":409,\"name\":\"RESOURCE_UNKNOWN\","));
        }
    }

    @Test
    void aBodyOverTheLimitIsRefused() throws Exception {
        HttpResponse<String> answer =
                send("POST", "/v1/tickets", RIGHT_TOKEN, "x".repeat(4 * 1024 * 1024 + 1));

        assertEquals(413, answer.statusCode());
        assertEquals(List.of(), administration.commands());
    }

    @Test
    void idleConnectionsDoNotKeepOthersOut() throws Exception {
        List<Socket> idle = new ArrayList<>();
        try {
            for (int number = 0; number < MORE_THAN_THE_LIMIT; number++) {
                idle.add(new Socket(InetAddress.getLoopbackAddress(), server.address().getPort()));
            }

            assertEquals(200, send("GET", "/live", "", "").statusCode());
        } finally {
            for (Socket socket : idle) {
                socket.close();
            }
        }
    }

    private HttpResponse<String> send(String method, String path, String token, String body)
            throws IOException, InterruptedException {
        URI target = URI.create("http://127.0.0.1:" + server.address().getPort() + path);
        HttpRequest request =
                HttpRequest.newBuilder(target)
                        .timeout(ANSWER_TIMEOUT)
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .header("Authorization", token)
                        .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
