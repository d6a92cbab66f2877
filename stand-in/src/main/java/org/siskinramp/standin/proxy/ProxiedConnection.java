package org.siskinramp.standin.proxy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;

/** Joins one accepted connection with one to the target. Only the proxy's thread uses it. */
final class ProxiedConnection {

    private final Selector selector;
    private final SocketChannel near;
    private final SocketChannel far;
    private final Direction towardsTarget;
    private final Direction fromTarget;
    private boolean silent;
    private boolean closed;

    private ProxiedConnection(Selector selector, SocketChannel near, SocketChannel far) {
        this.selector = selector;
        this.near = near;
        this.far = far;
        towardsTarget = new Direction(near, far);
        fromTarget = new Direction(far, near);
    }

    static ProxiedConnection open(Selector selector, SocketChannel near, InetSocketAddress target)
            throws IOException {
        SocketChannel far = SocketChannel.open();
        ProxiedConnection connection = new ProxiedConnection(selector, near, far);
        try {
            connection.prepare(near);
            connection.prepare(far);
            far.connect(target);
        } catch (IOException failure) {
            connection.close();
            throw failure;
        }
        return connection;
    }

    /** Moves bytes as far as the sockets and the faults let it. */
    void advance(long nowMilliseconds, ProxyFaults faults) {
        if (silent || closed) {
            return;
        }
        try {
            if (far.isConnectionPending() && !far.finishConnect()) {
                interest(far, SelectionKey.OP_CONNECT);
                return;
            }
            move(nowMilliseconds, faults);
        } catch (IOException failure) {
            close();
        }
    }

    void silence() {
        silent = true;
        interest(near, 0);
        interest(far, 0);
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
                : Math.min(towardsTarget.nextDueMilliseconds(), fromTarget.nextDueMilliseconds());
    }

    void close() {
        closed = true;
        closeQuietly(near);
        closeQuietly(far);
    }

    private void move(long nowMilliseconds, ProxyFaults faults) throws IOException {
        long due = nowMilliseconds + faults.delayMilliseconds();
        read(towardsTarget, due, faults.drops(true));
        read(fromTarget, due, faults.drops(false));
        towardsTarget.write(nowMilliseconds, Long.MAX_VALUE);
        fromTarget.write(
                nowMilliseconds,
                faults.truncateAfter() < 0 ? Long.MAX_VALUE : faults.truncateAfter());
        boolean ended = towardsTarget.isEnded() && fromTarget.isEnded();
        if (ended || faults.truncates(fromTarget.forwardedBytes())) {
            close();
            return;
        }
        interest(near, operations(towardsTarget, fromTarget, nowMilliseconds));
        interest(far, operations(fromTarget, towardsTarget, nowMilliseconds));
    }

    private static void read(Direction direction, long due, boolean dropped) throws IOException {
        if (direction.canRead()) {
            direction.read(due, dropped);
        }
    }

    private static int operations(Direction reading, Direction writing, long nowMilliseconds) {
        int read = reading.canRead() ? SelectionKey.OP_READ : 0;
        int write = writing.hasUnwritten(nowMilliseconds) ? SelectionKey.OP_WRITE : 0;
        return read | write;
    }

    private void prepare(SocketChannel channel) throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.register(selector, 0, this);
    }

    private void interest(SocketChannel channel, int operations) {
        SelectionKey key = channel.keyFor(selector);
        if (key != null && key.isValid()) {
            key.interestOps(operations);
        }
    }

    private static void closeQuietly(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
