package org.siskinramp.standin.cluster;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Sends reads ahead of their answers on one connection, and reads the answers at a limited speed,
 * until one announces that the connection is closed. Two threads belong to each caller.
 */
final class SlowCaller implements AutoCloseable {

    private static final int TIMEOUT_MILLISECONDS = 10_000;
    private static final int RECEIVE_BUFFER_BYTES = 4 * 1024;
    private static final int PIECE_BYTES = 1024;
    private static final String LENGTH_FIELD = "content-length:";
    private static final String CLOSE_FIELD = "connection: close";

    private final String name;
    private final int requestsAhead;
    private final long sendIntervalMilliseconds;
    private final int bytesPerMillisecond;
    private final Socket socket = new Socket();
    private final Set<String> unanswered = new LinkedHashSet<>();
    private final Thread sender = new Thread(this::send);
    private final Thread reader = new Thread(this::read);
    private volatile boolean ended;
    private int answerCount;

    /**
     * Connects to a gateway, and starts to send.
     *
     * @param name the prefix of all request identifiers
     * @param requestsAhead the number of requests without an answer at which it sends no more
     */
    SlowCaller(
            int port,
            String name,
            int requestsAhead,
            long sendIntervalMilliseconds,
            int bytesPerMillisecond)
            throws IOException {
        this.name = name;
        this.requestsAhead = requestsAhead;
        this.sendIntervalMilliseconds = sendIntervalMilliseconds;
        this.bytesPerMillisecond = bytesPerMillisecond;
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.setSoTimeout(TIMEOUT_MILLISECONDS);
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        sender.start();
        reader.start();
    }

    private void send() {
        try {
            for (int number = 0; !ended; number++) {
                String requestId = name + "-" + number;
                synchronized (this) {
                    unanswered.add(requestId);
                }
                DepartedCallers.write(socket, DepartedCallers.read(requestId, ""));
                do {
                    Thread.sleep(sendIntervalMilliseconds);
                } while (!ended && unanswered().size() >= requestsAhead);
            }
        } catch (IOException | InterruptedException closed) {
            ended = true;
        }
    }

    private void read() {
        try {
            InputStream stream = new BufferedInputStream(socket.getInputStream(), PIECE_BYTES);
            while (!ended) {
                readAnswer(stream);
            }
        } catch (IOException | InterruptedException closed) {
            ended = true;
        }
    }

    private void readAnswer(InputStream stream) throws IOException, InterruptedException {
        int length = 0;
        boolean last = false;
        for (String line = readLine(stream); !line.isEmpty(); line = readLine(stream)) {
            String field = line.toLowerCase(Locale.ROOT);
            if (field.startsWith(LENGTH_FIELD)) {
                length = Integer.parseInt(field.substring(LENGTH_FIELD.length()).strip());
            }
            last |= field.equals(CLOSE_FIELD);
        }
        for (int remaining = length; remaining > 0; remaining -= PIECE_BYTES) {
            int bytes = Math.min(remaining, PIECE_BYTES);
            if (stream.readNBytes(bytes).length < bytes) {
                throw new EOFException("the answer ends in the middle");
            }
            Thread.sleep(bytes / bytesPerMillisecond);
        }
        synchronized (this) {
            unanswered.remove(unanswered.iterator().next());
            answerCount++;
        }
        ended |= last;
    }

    private static String readLine(InputStream stream) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = stream.read(); next != '\n'; next = stream.read()) {
            if (next < 0) {
                throw new EOFException("the connection is closed");
            }
            line.append((char) next);
        }
        return line.toString().strip();
    }

    /** Waits until the connection has ended. */
    void awaitEnd() throws InterruptedException {
        reader.join();
        sender.join();
    }

    /** Returns the identifiers of the requests that have no whole answer. */
    synchronized List<String> unanswered() {
        return List.copyOf(unanswered);
    }

    synchronized int answerCount() {
        return answerCount;
    }

    @Override
    public void close() throws IOException {
        ended = true;
        socket.close();
    }
}
