package org.siskinramp.standin.proxy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;

/**
 * A connection that a client opened, and the connection to the target to which it is forwarded.
 * Used only by the forwarding thread of the proxy.
 */
final class ProxiedConnection {

    private final Selector selector;
    private final SocketChannel client;
    private final SocketChannel target;
    private final ByteForwarder toTarget;
    private final ByteForwarder fromTarget;
    private boolean silent;
    private boolean closed;

    private ProxiedConnection(Selector selector, SocketChannel client, SocketChannel target) {
        this.selector = selector;
        this.client = client;
        this.target = target;
        toTarget = new ByteForwarder(client, target);
        fromTarget = new ByteForwarder(target, client);
    }

    static ProxiedConnection open(
            Selector selector, SocketChannel client, InetSocketAddress targetAddress)
            throws IOException {
        SocketChannel target = SocketChannel.open();
        ProxiedConnection connection = new ProxiedConnection(selector, client, target);
        try {
            connection.register(client);
            connection.register(target);
            target.connect(targetAddress);
        } catch (IOException failure) {
            connection.close();
            throw failure;
        }
        return connection;
    }

    /** Forwards as many bytes as the sockets and the injected faults permit. */
    void forward(long nowMilliseconds, ProxyFaults faults) {
        if (silent || closed) {
            return;
        }
        try {
            if (target.isConnectionPending() && !target.finishConnect()) {
                setInterest(target, SelectionKey.OP_CONNECT);
                return;
            }
            forwardBytes(nowMilliseconds, faults);
        } catch (IOException failure) {
            close();
        }
    }

    void silence() {
        silent = true;
        setInterest(client, 0);
        setInterest(target, 0);
    }

    boolean isSilent() {
        return silent;
    }

    boolean isClosed() {
        return closed;
    }

    long nextDueMilliseconds() {
        return silent || closed
                ? Long.MAX_VALUE
                : Math.min(toTarget.nextDueMilliseconds(), fromTarget.nextDueMilliseconds());
    }

    void close() {
        closed = true;
        closeChannel(client);
        closeChannel(target);
    }

    private void forwardBytes(long nowMilliseconds, ProxyFaults faults) throws IOException {
        long dueMilliseconds = nowMilliseconds + faults.delayMilliseconds();
        read(toTarget, dueMilliseconds, faults.drops(true));
        read(fromTarget, dueMilliseconds, faults.drops(false));
        toTarget.write(nowMilliseconds, Long.MAX_VALUE);
        fromTarget.write(
                nowMilliseconds,
                faults.truncateAfter() < 0 ? Long.MAX_VALUE : faults.truncateAfter());
        boolean ended = toTarget.isFinished() && fromTarget.isFinished();
        if (ended || faults.truncates(fromTarget.forwardedBytes())) {
            close();
            return;
        }
        setInterest(client, interestOperations(toTarget, fromTarget, nowMilliseconds));
        setInterest(target, interestOperations(fromTarget, toTarget, nowMilliseconds));
    }

    private static void read(ByteForwarder forwarder, long dueMilliseconds, boolean dropped)
            throws IOException {
        if (forwarder.canRead()) {
            forwarder.read(dueMilliseconds, dropped);
        }
    }

    private static int interestOperations(
            ByteForwarder reading, ByteForwarder writing, long nowMilliseconds) {
        int read = reading.canRead() ? SelectionKey.OP_READ : 0;
        int write = writing.hasDueBytes(nowMilliseconds) ? SelectionKey.OP_WRITE : 0;
        return read | write;
    }

    private void register(SocketChannel channel) throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.register(selector, 0, this);
    }

    private void setInterest(SocketChannel channel, int operations) {
        SelectionKey key = channel.keyFor(selector);
        if (key != null && key.isValid()) {
            key.interestOps(operations);
        }
    }

    private static void closeChannel(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
