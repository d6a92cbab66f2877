package org.siskinramp.standin.cluster;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Sends requests on one kept connection exactly as they are written. An HTTP client library would
 * change or refuse header names that an attacker may send.
 */
final class RawConnection implements AutoCloseable {

    private static final int TIMEOUT_MILLISECONDS = 10_000;

    /** The position of the status in a line such as "HTTP/1.1 200 OK". */
    private static final int STATUS_START = 9;

    private static final int STATUS_END = 12;
    private static final String LENGTH_FIELD = "content-length:";

    private final Socket socket;
    private final BufferedReader reader;

    RawConnection(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(TIMEOUT_MILLISECONDS);
        reader =
                new BufferedReader(
                        new InputStreamReader(
                                socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    /** Sends a request without a body; returns the status of the answer. */
    int get(String path, String requestId, String... fields) {
        return send("GET " + path, requestId, "", fields);
    }

    /**
     * Sends a request; returns the status of the answer.
     *
     * @param start the method and the path
     * @param requestId the identifier of the request
     * @param rest what follows the header: the body, with line feeds in place of line ends
     * @param fields header fields as they are sent
     */
    int send(String start, String requestId, String rest, String... fields) {
        List<String> all = new ArrayList<>(List.of("Host: localhost"));
        all.addAll(List.of(fields));
        write(format(start, requestId, all) + rest);
        return read().status();
    }

    /** Formats the head of a request with fields as given, and with line feeds as line ends. */
    static String format(String start, String requestId, List<String> fields) {
        StringBuilder text =
                new StringBuilder(start)
                        .append(" HTTP/1.1\nX-Siskinramp-Request-Id: ")
                        .append(requestId)
                        .append('\n');
        for (String field : fields) {
            text.append(field).append('\n');
        }
        return text.append('\n').toString();
    }

    /** Sends one or more requests, with line feeds in place of line ends. */
    void write(String text) {
        try {
            socket.getOutputStream()
                    .write(text.replace("\n", "\r\n").getBytes(StandardCharsets.UTF_8));
        } catch (IOException failure) {
            throw new UncheckedIOException(text, failure);
        }
    }

    /** Reads the next answer. */
    Answer read() {
        try {
            return readAnswer();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private Answer readAnswer() throws IOException {
        String statusLine = reader.readLine();
        if (statusLine == null) {
            throw new IOException("closed without an answer");
        }
        List<String> fields = new ArrayList<>();
        int bodyLength = 0;
        for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
            fields.add(line);
            if (line.toLowerCase(Locale.ROOT).startsWith(LENGTH_FIELD)) {
                bodyLength = Integer.parseInt(line.substring(LENGTH_FIELD.length()).strip());
            }
        }
        for (int read = 0; read < bodyLength; read++) {
            reader.read();
        }
        return new Answer(Integer.parseInt(statusLine.substring(STATUS_START, STATUS_END)), fields);
    }

    /** The status of an answer and its header fields as they were received. */
    record Answer(int status, List<String> fields) {}

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
