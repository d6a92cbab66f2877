import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend server that answers one request at a time on a connection, registers itself in the
 * store, and renews its entry.
 */
final class Upstream implements AutoCloseable {

    private static final int HEARTBEAT_MILLISECONDS = 1500;

    /** A server that does not read blocks the writer after about as many bytes. */
    private static final int WINDOW_BYTES = 64 * 1024;

    private final String id;
    private final String service;
    private final Store store;
    private final Handler handler;
    private final boolean answersEarly;
    private final ServerSocket listener;
    private final long born = System.currentTimeMillis();
    private final AtomicInteger running = new AtomicInteger();
    private int sequence;
    private volatile boolean closed;

    /** Answers a request other than a health check. */
    @FunctionalInterface
    interface Handler {

        /** Returns false if the connection must be closed. */
        boolean handle(Call call) throws IOException;
    }

    /**
     * A request that has arrived.
     *
     * @param upstream the server
     * @param request the request
     * @param input the connection
     * @param output the connection
     */
    record Call(Upstream upstream, Message request, InputStream input, OutputStream output) {

        String id() {
            return request.header("X-Siskinramp-Request-Id").orElse("");
        }

        String answerHead(String status) {
            return "HTTP/1.1 "
                    + status
                    + "\r\nX-Siskinramp-Request-Id: "
                    + id()
                    + "\r\nX-Siskinramp-Upstream-Signature: sig-"
                    + id()
                    + "\r\n"
                    + upstream.loadHeader();
        }

        boolean answer(byte[] body) throws IOException {
            write(answerHead("200 OK") + "Content-Length: " + body.length + "\r\n\r\n");
            output.write(body);
            output.flush();
            return true;
        }

        /** Reads the body of a request whose head alone was read. */
        void skipBody() throws IOException {
            int length = Integer.parseInt(request.header("Content-Length").orElse("0"));
            input.skipNBytes(length);
        }

        void write(String text) throws IOException {
            output.write(text.getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }
    }

    Upstream(String id, String service, Store store, Handler handler) throws IOException {
        this(id, service, store, handler, false);
    }

    /** Creates a server whose handler is called, if it answers early, before the body is read. */
    Upstream(String id, String service, Store store, Handler handler, boolean answersEarly)
            throws IOException {
        this.id = id;
        this.service = service;
        this.store = store;
        this.handler = handler;
        this.answersEarly = answersEarly;
        this.listener = new ServerSocket();
        if (answersEarly) {
            listener.setReceiveBufferSize(WINDOW_BYTES);
        }
        listener.bind(new InetSocketAddress("127.0.0.1", 0), 200);
        start(this::accept);
        start(this::register);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "upstream");
        thread.setDaemon(true);
        thread.start();
    }

    String id() {
        return id;
    }

    private String loadHeader() {
        return "X-Siskinramp-Upstream-Load: " + running.get() + ",0,8\r\n";
    }

    private void register() {
        try {
            while (!closed) {
                sequence++;
                store.put(
                        "servers",
                        id,
                        "{\"service\":\""
                                + service
                                + "\",\"address\":\"127.0.0.1:"
                                + listener.getLocalPort()
                                + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"concurrency\":8,"
                                + "\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":"
                                + sequence
                                + ",\"born\":"
                                + born
                                + "}");
                Thread.sleep(HEARTBEAT_MILLISECONDS);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                start(() -> serve(socket));
            } catch (IOException ended) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            Optional<Message> request = Message.read(input, false, !answersEarly);
            while (request.isPresent() && respond(request.get(), input, output)) {
                request = Message.read(input, false, !answersEarly);
            }
        } catch (IOException ended) {
            // The caller closed the connection.
        }
    }

    private boolean respond(Message request, InputStream input, OutputStream output)
            throws IOException {
        Call call = new Call(this, request, input, output);
        if (request.target().equals("/health")) {
            call.write(
                    "HTTP/1.1 200 OK\r\nX-Siskinramp-Instance-Id: "
                            + id
                            + "\r\n"
                            + loadHeader()
                            + "Content-Length: 0\r\n\r\n");
            return true;
        }
        String wanted = request.header("X-Siskinramp-Target-Instance").orElse(id);
        if (!wanted.equals(id)) {
            call.write(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Siskinramp-Instance-Id: "
                            + id
                            + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        running.incrementAndGet();
        try {
            return handler.handle(call);
        } finally {
            running.decrementAndGet();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
    }
}
