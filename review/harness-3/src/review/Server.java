package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.siskinramp.standin.store.StoreStandIn;

/**
 * A backend server: publishes its entry, answers health checks at once, rejects requests for other
 * servers with 421, and runs one request at a time on a connection.
 */
final class Server implements AutoCloseable {

    private static final long HEARTBEAT_MILLISECONDS = 1_500;
    private static final int ACCEPT_BACKLOG = 100;

    /** Requests whose path ends so take several times as long as the others. */
    static final String LONG_PATH = "/long";

    private static final int LONG_WORK_FACTOR = 3;

    /** Requests whose path begins so get the largest answer of the site file. */
    static final String LARGE_PATH = "/read/large";

    private static final String LARGE_BODY = "a".repeat(30_000);

    /** A request that the server began to run. */
    record Run(String requestId, String method, String target, String server) {}

    private final String identity;
    private final String service;
    private final String zone;
    private final int slots;
    private final long workMilliseconds;
    private final StoreStandIn store;
    private final Record record;
    private final ServerSocket listener;
    private final long started = System.currentTimeMillis();
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicInteger running = new AtomicInteger();
    private final List<Run> runs = new CopyOnWriteArrayList<>();
    private final Set<String> startedRequests;
    private volatile boolean closed;

    Server(
            String identity,
            String service,
            String zone,
            int slots,
            long workMilliseconds,
            StoreStandIn store,
            Record record,
            Set<String> startedRequests)
            throws IOException {
        this.identity = identity;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.workMilliseconds = workMilliseconds;
        this.store = store;
        this.record = record;
        this.startedRequests = startedRequests;
        listener = new ServerSocket(0, ACCEPT_BACKLOG, InetAddress.getByName("127.0.0.1"));
        Threads.start(this::accept);
        Threads.start(this::publishRegularly);
    }

    List<Run> runs() {
        return new ArrayList<>(runs);
    }

    private void publishRegularly() throws InterruptedException {
        while (!closed) {
            store.put(
                    "servers",
                    identity,
                    String.format(
                            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
                                    + "\"version\":\"v1\",\"concurrency\":%d,\"state\":\"ready\","
                                    + "\"warmup_left_ms\":0,\"sequence\":%d,\"born\":%d}",
                            service,
                            listener.getLocalPort(),
                            zone,
                            slots,
                            sequence.incrementAndGet(),
                            started));
            Thread.sleep(HEARTBEAT_MILLISECONDS);
        }
    }

    private void accept() throws IOException {
        while (!closed) {
            Socket connection = listener.accept();
            connection.setTcpNoDelay(true);
            Threads.start(() -> serve(connection));
        }
    }

    private void serve(Socket connection) throws Exception {
        try (connection) {
            InputStream input = new BufferedInputStream(connection.getInputStream());
            String head = Http.readHead(input);
            while (head != null) {
                Map<String, String> headers = Http.headersOf(head);
                byte[] body = Http.readBody(input, headers);
                answer(head.split("\r\n", 2)[0], headers, body, connection.getOutputStream());
                head = Http.readHead(input);
            }
        }
    }

    private void answer(
            String requestLine, Map<String, String> headers, byte[] body, OutputStream output)
            throws Exception {
        String[] words = requestLine.split(" ");
        String requestId = headers.getOrDefault("X-Siskinramp-Request-Id", "");
        if (words[1].equals("/health")) {
            write(
                    output,
                    "200 OK",
                    "X-Siskinramp-Instance-Id: " + identity + "\r\nX-Siskinramp-Warmup-Ms: 0\r\n",
                    "");
            return;
        }
        String identifier = "X-Siskinramp-Request-Id: " + requestId + "\r\n";
        if (!headers.getOrDefault("X-Siskinramp-Target-Instance", identity).equals(identity)) {
            write(output, "421 Misdirected Request", identifier, "");
            return;
        }
        if (running.incrementAndGet() > slots) {
            running.decrementAndGet();
            write(
                    output,
                    "503 Service Unavailable",
                    identifier + "X-Siskinramp-Not-Executed: 1\r\n",
                    "");
            return;
        }
        try {
            startedRequests.add(requestId);
            runs.add(new Run(requestId, words[0], words[1], identity));
            record.add(
                    identity + " runs " + requestId + ": " + words[0] + " " + words[1] + ", body of "
                            + body.length + " bytes");
            Thread.sleep(
                    words[1].endsWith(LONG_PATH)
                            ? LONG_WORK_FACTOR * workMilliseconds
                            : workMilliseconds);
        } finally {
            running.decrementAndGet();
        }
        write(
                output,
                "200 OK",
                identifier + "X-Siskinramp-Upstream-Signature: s." + identity + "\r\n",
                words[1].startsWith(LARGE_PATH) ? LARGE_BODY : "done " + requestId);
    }

    private void write(OutputStream output, String status, String headers, String body)
            throws IOException {
        int inProgress = Math.min(running.get(), slots);
        output.write(
                Http.bytesOf(
                        "HTTP/1.1 " + status + "\r\n" + headers + "X-Siskinramp-Upstream-Load: "
                                + inProgress + ",0," + slots + ",100\r\nContent-Length: "
                                + body.length() + "\r\n\r\n" + body));
        output.flush();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
    }
}
