package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;

/** One connection of a caller. */
final class Caller implements AutoCloseable {

    private static final int CONNECT_MILLISECONDS = 1_000;

    /** Longer than "timeout_ms" of the routes; the caller leaves when it has passed. */
    static final int DEADLINE_MILLISECONDS = 4_000;

    /** A complete answer. */
    record Answer(int status, Map<String, String> headers, byte[] body) {
        String requestId() {
            return headers.getOrDefault("X-Siskinramp-Request-Id", "");
        }

        boolean closesConnection() {
            return headers.getOrDefault("Connection", "").equalsIgnoreCase("close");
        }
    }

    private final Socket socket = new Socket();
    private final InputStream input;
    private final Record record;
    private String host = "desk.example";

    Caller(InetSocketAddress address, Record record) throws IOException {
        socket.connect(address, CONNECT_MILLISECONDS);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(DEADLINE_MILLISECONDS);
        input = new BufferedInputStream(socket.getInputStream());
        this.record = record;
    }

    /** Writes the host of all later requests in another way. */
    void useHost(String newHost) {
        host = newHost;
    }

    void send(String method, String path, String requestId, String headers, String body)
            throws IOException {
        String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
        socket.getOutputStream()
                .write(
                        Http.bytesOf(
                                method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n"
                                        + "X-Siskinramp-Request-Id: " + requestId + "\r\n"
                                        + "X-Siskinramp-Request-Deadline-Ms: "
                                        + DEADLINE_MILLISECONDS + "\r\n"
                                        + headers + length + "\r\n" + body));
        record.add("caller sends " + requestId + ": " + method + " " + path);
    }

    /** Reads the next answer; null if the connection has ended without one. */
    Answer read() {
        try {
            String head = Http.readHead(input);
            if (head == null) {
                record.add("caller sees the end of the connection");
                return null;
            }
            Map<String, String> headers = Http.headersOf(head);
            Answer answer =
                    new Answer(
                            Integer.parseInt(head.split(" ")[1]),
                            headers,
                            Http.readBody(input, headers));
            record.add("caller gets " + answer.status() + " for " + answer.requestId());
            return answer;
        } catch (IOException ended) {
            record.add("caller sees the connection break: " + ended.getMessage());
            return null;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
