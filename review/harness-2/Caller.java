import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;

/** A client with one connection that it keeps. */
final class Caller implements AutoCloseable {

    private final Socket socket;
    private final InputStream input;

    Caller(int port, int timeoutMilliseconds) throws IOException {
        this(port, timeoutMilliseconds, 0);
    }

    /** Connects with a receive buffer of a size, or of the usual size if it is 0. */
    Caller(int port, int timeoutMilliseconds, int receiveBytes) throws IOException {
        socket = new Socket();
        if (receiveBytes > 0) {
            socket.setReceiveBufferSize(receiveBytes);
        }
        socket.connect(new InetSocketAddress("127.0.0.1", port));
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMilliseconds);
        input = new BufferedInputStream(socket.getInputStream());
    }

    static String head(String method, String target, String id, long deadlineMilliseconds) {
        return method
                + " "
                + target
                + " HTTP/1.1\r\nHost: desk.example\r\nX-Siskinramp-Request-Id: "
                + id
                + "\r\nX-Siskinramp-Request-Deadline-Ms: "
                + deadlineMilliseconds
                + "\r\n";
    }

    void send(String text) throws IOException {
        send(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    /** Reads the next answer; empty if the connection ended before it. */
    Optional<Message> read() throws IOException {
        return Message.read(input, true);
    }

    /** Reads the head of the next answer. */
    Optional<Message> readHead() throws IOException {
        return Message.read(input, true, false);
    }

    /** Reads the bytes of a body no faster than a slow link delivers them. */
    void skipSlowly(int count, int bytesPerMillisecond) throws IOException {
        int missing = count;
        long start = System.nanoTime();
        while (missing > 0) {
            int read = input.read(new byte[Math.min(missing, bytesPerMillisecond)]);
            if (read < 0) {
                throw new EOFException(missing + " bytes of " + count + " are missing");
            }
            missing -= read;
            long due = start + (count - missing) * 1_000_000L / bytesPerMillisecond;
            LockSupport.parkNanos(due - System.nanoTime());
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
