package org.siskinramp.standin.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against an entry host that ends while callers have not received its last answers. */
class EntryHostStopProcessTest {

    private static final int TIMEOUT_MILLISECONDS = 10_000;

    /** Longer than a stop takes for which nobody has to be awaited. */
    private static final long STOP_MILLISECONDS = 1_000;

    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

    @TempDir private Path directory;

    @Test
    void aStopWaitsForACallerThatHasNotClosedItsConnection() throws Exception {
        try (Cluster cluster = new Cluster(directory)) {
            cluster.start();
            ProgramProcess host = cluster.host("entry-1").process();
            URI address = URI.create("http://" + cluster.host("entry-1").callerAddress());
            CompletableFuture<Integer> exit;
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), address.getPort())) {
                socket.setSoTimeout(TIMEOUT_MILLISECONDS);
                exit = CompletableFuture.supplyAsync(host::terminate);
                Waiting.until(
                        TimeUnit.MILLISECONDS.toSeconds(TIMEOUT_MILLISECONDS),
                        () -> "entry-1 refuses requests",
                        () -> host.output().contains("event=entry_host_refuses"));
                DepartedCallers.write(socket, REQUEST);
                String answer =
                        new String(
                                socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
                assertTrue(answer.startsWith("HTTP/1.1 "), answer);
                Thread.sleep(STOP_MILLISECONDS);
                assertFalse(host.output().contains("event=planned_stop"), host.output());
            }
            assertEquals(0, exit.get(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS));
            assertEquals("0", host.await("planned_stop", "connections_cut"));
        }
    }
}
