package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a socket, byte by byte, so that nothing behind them is consumed. */
final class Http {

    private static final String END_OF_HEAD = "\r\n\r\n";

    private Http() {}

    /**
     * Reads a head.
     *
     * @return the lines of the head, or null if the stream ends before its first byte
     */
    static String readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        int next = input.read();
        while (next >= 0) {
            head.append((char) next);
            int bodyStart = head.length() - END_OF_HEAD.length();
            if (bodyStart >= 0 && head.indexOf(END_OF_HEAD, bodyStart) == bodyStart) {
                return head.substring(0, bodyStart);
            }
            next = input.read();
        }
        if (head.length() == 0) {
            return null;
        }
        throw new EOFException("the head ended early");
    }

    /** Returns the headers of a head; their names are compared without case. */
    static Map<String, String> headersOf(String head) {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        String[] lines = head.split("\r\n");
        for (int index = 1; index < lines.length; index++) {
            int colon = lines[index].indexOf(':');
            if (colon > 0) {
                headers.put(
                        lines[index].substring(0, colon).strip(),
                        lines[index].substring(colon + 1).strip());
            }
        }
        return headers;
    }

    /** Reads a body with a length or in chunks; a message with neither has none. */
    static byte[] readBody(InputStream input, Map<String, String> headers) throws IOException {
        String coding = headers.getOrDefault("Transfer-Encoding", "").toLowerCase(Locale.ROOT);
        if (coding.equals("chunked")) {
            return readChunks(input);
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        byte[] body = input.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the body ended early");
        }
        return body;
    }

    private static byte[] readChunks(InputStream input) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int length = Integer.parseInt(readLine(input).split(";")[0].strip(), 16);
            byte[] chunk = input.readNBytes(length);
            if (chunk.length < length) {
                throw new EOFException("a chunk ended early");
            }
            body.writeBytes(chunk);
            readLine(input);
            if (length == 0) {
                return body.toByteArray();
            }
        }
    }

    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = input.read();
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("a line ended early");
            }
            line.append((char) next);
            next = input.read();
        }
        return line.toString().strip();
    }

    static byte[] bytesOf(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
