package org.siskinramp.daemon.exchange;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;

/** Answers each request with literal bytes or not at all, and may close the connection. */
public final class ScriptedServer implements AutoCloseable {

    /** Makes the server send no answer. */
    public static final String SILENCE = "";

    /** Makes the server close the connection; may follow an answer. */
    public static final String CLOSE = "\0";

    private static final long RESET_DELAY_MILLISECONDS = 50;

    /** Makes the server reset the connection; may follow an answer. */
    public static final String RESET = "\1";

    /** Formats an answer with a body. */
    public static String reply(String status, String body, String... headers) {
        String lines = String.join("\r\n", headers);
        return "HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n%s"
                .formatted(status, lines, lines.isEmpty() ? "" : "\r\n", body.length(), body);
    }

    private final ServerSocket listener;
    private final Thread acceptor;
    private final UnaryOperator<String> script;
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final AtomicInteger ended = new AtomicInteger();
    private final AtomicInteger reset = new AtomicInteger();

    /** Starts listening on a free port. */
    public ScriptedServer(UnaryOperator<String> script) throws IOException {
        this.script = script;
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        this.acceptor = new Thread(this::accept, "scripted-server");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** Returns the address as {@code ip:port}. */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Returns the requests that were received completely. */
    public List<String> requests() {
        return List.copyOf(requests);
    }

    /** Returns how many connections were opened. */
    public int connections() {
        return sockets.size();
    }

    /** Returns how many connections the client closed. */
    public int closedByPeer() {
        return ended.get();
    }

    /** Returns how many connections the client reset, which discards bytes still on their way. */
    public int resetByPeer() {
        return reset.get();
    }

    /** Writes to all connections without a request. */
    public void push(String text) throws IOException {
        for (Socket socket : sockets) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                Thread thread = new Thread(() -> serve(socket), "scripted-connection");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException closed) {
            // The server was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            String request = readRequest(socket.getInputStream());
            while (request != null) {
                requests.add(request);
                String reply = script.apply(request);
                int reset = reply.indexOf(RESET);
                int end = Math.max(reset, reply.indexOf(CLOSE));
                String text = end < 0 ? reply : reply.substring(0, end);
                socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().flush();
                if (reset >= 0) {
                    // A reset discards unread bytes, so lets the client read them first.
                    Thread.sleep(RESET_DELAY_MILLISECONDS);
                    socket.setSoLinger(true, 0);
                }
                if (end >= 0) {
                    return;
                }
                request = readRequest(socket.getInputStream());
            }
            ended.incrementAndGet();
        } catch (IOException gone) {
            reset.incrementAndGet();
            ended.incrementAndGet();
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private static String readRequest(InputStream input) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        String text = "";
        while (!text.contains("\r\n\r\n")
                || bytes.size() < text.indexOf("\r\n\r\n") + 4 + bodyLength(text)) {
            int next = input.read();
            if (next < 0) {
                return null;
            }
            bytes.write(next);
            text = bytes.toString(StandardCharsets.ISO_8859_1);
        }
        return text;
    }

    private static int bodyLength(String text) {
        return text.lines()
                .filter(line -> line.startsWith("Content-Length: "))
                .mapToInt(line -> Integer.parseInt(line.substring(16)))
                .findFirst()
                .orElse(0);
    }

    /** Stops listening and waits for the accepting thread, which could still accept connections. */
    @Override
    public void close() throws IOException {
        listener.close();
        try {
            acceptor.join();
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
