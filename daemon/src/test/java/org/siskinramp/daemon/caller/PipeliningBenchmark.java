package org.siskinramp.daemon.caller;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.siskinramp.time.SystemClock;

/**
 * Measures batches of four pipelined requests, serially and started early, and single requests, in
 * turns within one run. Paths with {@code unsafe} are processed serially.
 */
final class PipeliningBenchmark {

    private static final int CONNECTIONS = 20;
    private static final int ROUNDS = 3;
    private static final int BODY_BYTES = 64;

    private static final ScheduledExecutorService SERVERS = Executors.newScheduledThreadPool(2);

    private PipeliningBenchmark() {}

    /** Prints the times of each round in milliseconds. */
    public static void main(String[] arguments) throws Exception {
        CallerServer server =
                new CallerServer(
                        new PipelineProtocol(PipeliningBenchmark::process),
                        new SystemClock(),
                        event -> {},
                        (counter, amount) -> {},
                        CallerServerOptions.builder().build());
        server.start();
        ExecutorService callers = Executors.newFixedThreadPool(CONNECTIONS);
        for (int round = 0; round < ROUNDS; round++) {
            measure("serial, 4 of 20 to 60 ms", callers, server.port(), "unsafe", 4, 40, 20);
            measure("early, 4 of 20 to 60 ms", callers, server.port(), "safe", 4, 40, 20);
            measure("single, at once, serial", callers, server.port(), "unsafe", 1, 0, 2_000);
            measure("single, at once, early", callers, server.port(), "safe", 1, 0, 2_000);
        }
        callers.shutdown();
        SERVERS.shutdown();
        server.stop();
    }

    private static void process(PipelineProtocol.Processed request) {
        int workMilliseconds = Integer.parseInt(request.path().split("/", -1)[2]);
        Runnable complete = () -> request.complete(new byte[BODY_BYTES]);
        if (workMilliseconds == 0) {
            complete.run();
        } else {
            var unused = SERVERS.schedule(complete, workMilliseconds, TimeUnit.MILLISECONDS);
        }
    }

    private static void measure(
            String name,
            ExecutorService callers,
            int port,
            String kind,
            int batch,
            int spreadMilliseconds,
            int batches)
            throws Exception {
        long start = System.nanoTime();
        List<Future<long[]>> runs = new ArrayList<>();
        for (int connection = 0; connection < CONNECTIONS; connection++) {
            Random random = new Random(connection);
            runs.add(
                    callers.submit(
                            () -> run(port, kind, batch, spreadMilliseconds, batches, random)));
        }
        List<long[]> results = new ArrayList<>();
        for (Future<long[]> run : runs) {
            results.add(run.get());
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        long[] times = results.stream().flatMapToLong(Arrays::stream).sorted().toArray();
        System.out.printf(
                "%-26s p50 %.2f ms, p99 %.2f ms, %.0f requests/s%n",
                name,
                times[times.length / 2] / 1e6,
                times[times.length * 99 / 100] / 1e6,
                times.length * batch / seconds);
    }

    private static long[] run(
            int port, String kind, int batch, int spreadMilliseconds, int batches, Random random)
            throws Exception {
        long[] times = new long[batches];
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setTcpNoDelay(true);
            byte[] answers = null;
            for (int number = 0; number < batches; number++) {
                StringBuilder text = new StringBuilder();
                for (int index = 0; index < batch; index++) {
                    int work =
                            spreadMilliseconds == 0
                                    ? 0
                                    : spreadMilliseconds / 2 + random.nextInt(spreadMilliseconds);
                    text.append("GET /%s/%d HTTP/1.1\r\nHost: h\r\n\r\n".formatted(kind, work));
                }
                long start = System.nanoTime();
                socket.getOutputStream().write(text.toString().getBytes(StandardCharsets.US_ASCII));
                answers = answers == null ? readFirst(socket, batch) : answers;
                if (number > 0) {
                    socket.getInputStream().readNBytes(answers, 0, answers.length);
                }
                times[number] = System.nanoTime() - start;
            }
        }
        return times;
    }

    /** Reads answers of equal length and returns a buffer for as many. */
    private static byte[] readFirst(Socket socket, int batch) throws Exception {
        InputStream input = socket.getInputStream();
        int headBytes = 0;
        int last = 0;
        while (last != 0x0d0a0d0a) {
            last = (last << 8) | input.read();
            headBytes++;
        }
        int answerBytes = headBytes + BODY_BYTES;
        input.readNBytes(BODY_BYTES + (batch - 1) * answerBytes);
        return new byte[batch * answerBytes];
    }
}
