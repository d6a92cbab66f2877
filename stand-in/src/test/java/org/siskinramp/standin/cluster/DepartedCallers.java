package org.siskinramp.standin.cluster;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.siskinramp.standin.upstream.RunListener;

/**
 * Callers that close their connection before they are answered, and the times at which backend
 * servers started and ended their requests.
 */
final class DepartedCallers implements RunListener {

    /** How long after a caller has left its request may reach a server or occupy one. */
    private static final long ALLOWED_MILLISECONDS = 500;

    private final Map<String, Long> departures = new ConcurrentHashMap<>();
    private final Map<String, Long> starts = new ConcurrentHashMap<>();
    private final Map<String, Long> ends = new ConcurrentHashMap<>();

    /** How a caller closes its connection. */
    enum Departure {
        CLOSE,
        RESET
    }

    /** Sends a read on a new connection, which stays open. */
    static Socket send(int port, String requestId) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        write(socket, read(requestId, ""));
        return socket;
    }

    /** Formats a read with an additional header line, or with none if it is empty. */
    static String read(String requestId, String headerLine) {
        return "GET /read/%s HTTP/1.1\r\nHost: localhost\r\nX-Siskinramp-Request-Id: %s\r\n%s\r\n"
                .formatted(requestId, requestId, headerLine.isEmpty() ? "" : headerLine + "\r\n");
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Closes the connection of a request, and records when. */
    void leave(Socket socket, String requestId, Departure departure) throws IOException {
        if (departure == Departure.RESET) {
            socket.setSoLinger(true, 0);
        }
        socket.close();
        departures.put(requestId, now());
    }

    @Override
    public void started(String requestId) {
        starts.putIfAbsent(requestId, now());
    }

    @Override
    public void ended(String requestId) {
        ends.putIfAbsent(requestId, now());
    }

    int departedCount() {
        return departures.size();
    }

    boolean hasStarted(String requestId) {
        return starts.containsKey(requestId);
    }

    /** Returns how many requests reached a server too long after their caller had left. */
    long startedLate() {
        return departures.entrySet().stream()
                .filter(
                        departure ->
                                starts.getOrDefault(departure.getKey(), 0L)
                                        > departure.getValue() + ALLOWED_MILLISECONDS)
                .count();
    }

    /** Returns how many requests occupied a server too long after their caller had left. */
    long endedLate() {
        return departures.entrySet().stream()
                .filter(departure -> starts.containsKey(departure.getKey()))
                .filter(
                        departure ->
                                ends.getOrDefault(departure.getKey(), Long.MAX_VALUE)
                                        > departure.getValue() + ALLOWED_MILLISECONDS)
                .count();
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }
}
