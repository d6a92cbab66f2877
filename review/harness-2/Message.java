import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One HTTP/1.1 message as it stands on a socket.
 *
 * @param startLine the request line or the status line
 * @param headers the header lines, in order
 * @param body the body without its framing
 */
record Message(String startLine, List<String> headers, byte[] body) {

    /** Reads a message; empty if the connection ends before its first byte. */
    static Optional<Message> read(InputStream input, boolean isAnswer) throws IOException {
        return read(input, isAnswer, true);
    }

    /** Reads a message, or only its head. */
    static Optional<Message> read(InputStream input, boolean isAnswer, boolean withBody)
            throws IOException {
        String startLine = readLine(input);
        if (startLine == null) {
            return Optional.empty();
        }
        List<String> headers = new ArrayList<>();
        String line = readLine(input);
        while (line != null && !line.isEmpty()) {
            headers.add(line);
            line = readLine(input);
        }
        if (line == null) {
            throw new EOFException("the head ends early");
        }
        Message head = new Message(startLine, headers, new byte[0]);
        if (!withBody) {
            return Optional.of(head);
        }
        return Optional.of(new Message(startLine, headers, readBody(input, head, isAnswer)));
    }

    private static byte[] readBody(InputStream input, Message head, boolean isAnswer)
            throws IOException {
        if (head.header("Transfer-Encoding").isPresent()) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(input);
                if (size == null) {
                    throw new EOFException("the body ends early");
                }
                int bytes = Integer.parseInt(size.split(";")[0].strip(), 16);
                if (bytes == 0) {
                    String trailer = readLine(input);
                    while (trailer != null && !trailer.isEmpty()) {
                        trailer = readLine(input);
                    }
                    return body.toByteArray();
                }
                body.write(readExactly(input, bytes));
                readLine(input);
            }
        }
        Optional<String> length = head.header("Content-Length");
        if (length.isPresent()) {
            return readExactly(input, Integer.parseInt(length.get()));
        }
        return isAnswer && head.status() != 204 ? input.readAllBytes() : new byte[0];
    }

    private static byte[] readExactly(InputStream input, int count) throws IOException {
        byte[] bytes = input.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the body ends after " + bytes.length + " of " + count);
        }
        return bytes;
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = input.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = input.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    String method() {
        return startLine.split(" ")[0];
    }

    String target() {
        return startLine.split(" ")[1];
    }

    Optional<String> header(String name) {
        return headers.stream()
                .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                .map(line -> line.substring(name.length() + 1).strip())
                .findFirst();
    }
}
