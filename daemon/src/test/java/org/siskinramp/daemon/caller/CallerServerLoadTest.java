package org.siskinramp.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.configuration.Service;
import org.siskinramp.request.Answer;
import org.siskinramp.request.RequestKind;
import org.siskinramp.result.ResultCode;
import org.siskinramp.time.SystemClock;

/** Sends requests of many callers concurrently, each request split into head and body. */
class CallerServerLoadTest {

    private static final int CALLERS = 24;
    private static final int REQUESTS_PER_CALLER = 150;
    private static final int READ_TIMEOUT_MILLISECONDS = 5_000;
    private static final String BODY = "valve 9";

    private final ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    private final ExecutorService servers = Executors.newFixedThreadPool(2);
    private final Configuration configuration =
            Configuration.empty().toBuilder(1)
                    .service(
                            new Service(
                                    "dispatch",
                                    "/dispatch",
                                    20_000,
                                    10,
                                    List.of(
                                            new RequestKind(
                                                    "order", "POST", "/dispatch/orders", false, 5)),
                                    AdministrativeState.IN))
                    .build();
    private final CallerServer server =
            new CallerServer(
                    request -> answerTo(request.body()),
                    () -> configuration,
                    new SystemClock(),
                    event -> {},
                    (counter, amount) -> {},
                    CallerServerOptions.builder().build());

    CallerServerLoadTest() {
        server.start();
    }

    @AfterEach
    void stop() {
        callers.shutdownNow();
        servers.shutdownNow();
        server.stop();
    }

    @Test
    void answersEveryRequestOnANewConnection() throws Exception {
        assertEquals(CALLERS * REQUESTS_PER_CALLER, runCallers(this::sendOnNewConnections));
    }

    @Test
    void answersEveryRequestOnPersistentConnections() throws Exception {
        assertEquals(CALLERS * REQUESTS_PER_CALLER, runCallers(this::sendOnOneConnection));
    }

    /** Answers on another thread, sometimes before the server has registered its callbacks. */
    private CompletableFuture<Answer> answerTo(byte[] body) {
        return CompletableFuture.supplyAsync(
                () -> new Answer(ResultCode.ANSWERED, 200, List.of(), body), servers);
    }

    private int runCallers(RequestSequence sequence) throws Exception {
        List<Callable<Integer>> tasks = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            int number = caller;
            tasks.add(() -> sequence.sendAll(number));
        }
        int answered = 0;
        for (Future<Integer> each : callers.invokeAll(tasks, 60, TimeUnit.SECONDS)) {
            answered += each.get();
        }
        return answered;
    }

    private int sendOnNewConnections(int caller) throws Exception {
        for (int request = 0; request < REQUESTS_PER_CALLER; request++) {
            try (Socket socket = connect()) {
                exchange(socket, caller, request);
            }
        }
        return REQUESTS_PER_CALLER;
    }

    private int sendOnOneConnection(int caller) throws Exception {
        try (Socket socket = connect()) {
            for (int request = 0; request < REQUESTS_PER_CALLER; request++) {
                exchange(socket, caller, request);
            }
        }
        return REQUESTS_PER_CALLER;
    }

    private Socket connect() throws Exception {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        socket.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** Writes head and body separately, with a pause between them for every other request. */
    private static void exchange(Socket socket, int caller, int request) throws Exception {
        OutputStream out = socket.getOutputStream();
        String head =
                "POST /dispatch/orders HTTP/1.1\r\nHost: h\r\nCaller: crew-"
                        + caller
                        + "\r\nRequest-Id: order-"
                        + request
                        + "\r\nRequest-Deadline: 5000\r\nContent-Length: "
                        + BODY.length()
                        + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.US_ASCII));
        if ((caller + request) % 2 == 0) {
            Thread.sleep((caller + request) % 3);
        }
        out.write(BODY.getBytes(StandardCharsets.US_ASCII));
        assertEquals(BODY, readBody(socket.getInputStream()));
    }

    private static String readBody(InputStream in) throws Exception {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new AssertionError("closed after: " + text);
            }
            text.append((char) next);
        }
        assertEquals("HTTP/1.1 200 OK", text.substring(0, text.indexOf("\r\n")));
        return new String(in.readNBytes(BODY.length()), StandardCharsets.US_ASCII);
    }

    /** Sends all requests of one caller and returns how many were answered. */
    private interface RequestSequence {
        int sendAll(int caller) throws Exception;
    }
}
