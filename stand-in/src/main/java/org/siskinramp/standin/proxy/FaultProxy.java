package org.siskinramp.standin.proxy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.standin.http.Addresses;
import org.siskinramp.standin.http.HttpExchange;
import org.siskinramp.standin.http.HttpService;
import org.siskinramp.standin.http.Json;
import org.siskinramp.time.Clock;

/**
 * Forwards TCP connections to a target and injects faults on command. One thread forwards all bytes
 * and applies all commands; the handlers of the control interface only pass tasks to it.
 */
public final class FaultProxy implements AutoCloseable {

    private static final int BACKLOG_CONNECTIONS = 1024;
    private static final long MAXIMUM_SELECT_MILLISECONDS = 1000;

    private final InetSocketAddress target;
    private final Clock clock;
    private final Selector selector;
    private final HttpService control;
    private final Thread forwardingThread;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final List<ProxiedConnection> connections = new ArrayList<>();
    private InetSocketAddress address;
    private ServerSocketChannel listener;
    private ProxyFaults faults = ProxyFaults.NONE;
    private long accepted;
    private volatile boolean closed;

    private FaultProxy(String listen, String target, String control, Clock clock)
            throws IOException {
        this.target = Addresses.parseLoopback(target);
        this.clock = clock;
        selector = Selector.open();
        address = Addresses.parseLoopback(listen);
        listen();
        this.control = HttpService.start(control, this::handle);
        forwardingThread = new Thread(this::forwardUntilClosed, "fault-proxy");
        forwardingThread.setDaemon(true);
    }

    /**
     * Starts the proxy.
     *
     * @param listen the address on which to accept connections, as {@code ip:port}
     * @param target the address to which they are forwarded, as {@code ip:port}
     * @param control the address on which to accept commands over HTTP, as {@code ip:port}
     * @param clock the clock
     * @return the running proxy
     */
    public static FaultProxy start(String listen, String target, String control, Clock clock) {
        try {
            FaultProxy proxy = new FaultProxy(listen, target, control, clock);
            proxy.forwardingThread.start();
            return proxy;
        } catch (IOException failure) {
            throw new UncheckedIOException("cannot listen on " + listen, failure);
        }
    }

    /**
     * Returns the address on which the proxy accepts connections.
     *
     * @return the address as {@code ip:port}
     */
    public String address() {
        return Addresses.format(address);
    }

    /**
     * Returns the address on which the proxy accepts commands.
     *
     * @return the address as {@code ip:port}
     */
    public String controlAddress() {
        return control.address();
    }

    @Override
    public void close() {
        closed = true;
        selector.wakeup();
        control.close();
    }

    private void handle(HttpExchange exchange) {
        switch (exchange.method() + " " + exchange.path()) {
            case "POST /-/faults" -> {
                ProxyFaults change = Json.read(exchange.body(), ProxyFaults.class);
                runOnForwardingThread(() -> exchange.answerJson(200, applyFaults(change)));
            }
            case "GET /-/counts" -> runOnForwardingThread(() -> exchange.answerJson(200, counts()));
            default ->
                    throw new ResultException(
                            ResultCode.RESOURCE_UNKNOWN, exchange.method() + " " + exchange.path());
        }
    }

    private void runOnForwardingThread(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    private ProxyFaults applyFaults(ProxyFaults change) {
        faults = faults.changedBy(change);
        if (Boolean.TRUE.equals(change.silenceExisting())) {
            connections.forEach(ProxiedConnection::silence);
        }
        if (faults.cut()) {
            connections.forEach(ProxiedConnection::close);
            closeListener();
        } else if (!listener.isOpen()) {
            listen();
        }
        return faults;
    }

    private Counts counts() {
        long silent = connections.stream().filter(ProxiedConnection::isSilent).count();
        return new Counts(accepted, connections.size(), silent);
    }

    private void forwardUntilClosed() {
        while (!closed) {
            forwardOnce();
        }
        connections.forEach(ProxiedConnection::close);
        closeListener();
    }

    private void forwardOnce() {
        try {
            selector.select(this::accept, selectTimeoutMilliseconds());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
        long now = clock.monotonicMilliseconds();
        connections.forEach(connection -> connection.forward(now, faults));
        connections.removeIf(ProxiedConnection::isClosed);
    }

    private long selectTimeoutMilliseconds() {
        long now = clock.monotonicMilliseconds();
        long due =
                connections.stream()
                        .mapToLong(ProxiedConnection::nextDueMilliseconds)
                        .min()
                        .orElse(Long.MAX_VALUE);
        long untilDue = due == Long.MAX_VALUE ? MAXIMUM_SELECT_MILLISECONDS : due - now;
        return Math.max(1, Math.min(MAXIMUM_SELECT_MILLISECONDS, untilDue));
    }

    private void accept(SelectionKey key) {
        if (!key.isValid() || !key.isAcceptable()) {
            return;
        }
        try {
            SocketChannel client = listener.accept();
            if (client != null) {
                accepted++;
                connections.add(ProxiedConnection.open(selector, client, target));
            }
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private void listen() {
        try {
            listener = ServerSocketChannel.open();
            listener.bind(address, BACKLOG_CONNECTIONS);
            listener.configureBlocking(false);
            listener.register(selector, SelectionKey.OP_ACCEPT);
            address = (InetSocketAddress) listener.getLocalAddress();
        } catch (IOException failure) {
            throw new UncheckedIOException("cannot listen on " + address(), failure);
        }
    }

    private void closeListener() {
        try {
            listener.close();
            // The socket of a registered channel is closed by the next selection only.
            selector.selectNow(key -> {});
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private record Counts(long accepted, int open, long silent) {}
}
