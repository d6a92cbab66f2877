package org.siskinramp.daemon.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.IO;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Closes a connection so that its caller receives everything that was written to it: once the
 * output has ended, the socket stays open, and what the caller still sends is discarded, until the
 * caller has closed its side too. A socket that is closed with unread bytes, or receives more of
 * them later, resets the connection, and what has not been delivered by then is lost (RFC 9112,
 * section 9.6).
 */
final class LingeringClose {

    /** How long a caller may take to read what was written, and to close the connection. */
    static final long LIMIT_MILLISECONDS = 5_000;

    /** Nothing more is read beyond this, so that the network slows the caller down. */
    static final long LIMIT_BYTES = 16L * 1024 * 1024;

    /** Bytes that one call reads at most, so that a caller that floods delays no other. */
    private static final int READ_LIMIT_BYTES = 64 * 1024;

    private static final int BUFFER_BYTES = 8 * 1024;
    private static final int NO_OPERATIONS = 0;

    private final SocketChannel channel;
    private final ManagedSelector selector;
    private final Scheduler scheduler;
    private final LingeringConnections connections;
    private final Runnable closeEndPoint;
    private long discardedBytes;
    private volatile boolean discarding;
    private volatile boolean ended;
    private volatile Scheduler.Task timeout;

    /**
     * Creates the close of a connection that is open.
     *
     * @param closeEndPoint closes the end point of the connection, unless that is closed already
     */
    LingeringClose(
            SocketChannel channel,
            ManagedSelector selector,
            Scheduler scheduler,
            LingeringConnections connections,
            Runnable closeEndPoint) {
        this.channel = channel;
        this.selector = selector;
        this.scheduler = scheduler;
        this.connections = connections;
        this.closeEndPoint = closeEndPoint;
    }

    /**
     * Holds the connection until its caller has closed it, since the output has ended; the HTTP
     * connection still reads.
     *
     * @return false if the server has stopped, so that the socket must be closed at once
     */
    boolean holdForCaller() {
        if (!connections.add(this)) {
            return false;
        }
        if (timeout == null) {
            timeout = scheduler.schedule(this::end, LIMIT_MILLISECONDS, TimeUnit.MILLISECONDS);
        }
        return true;
    }

    /**
     * Ends the output, and discards what arrives in place of the HTTP connection.
     *
     * @return false if the socket must be closed at once
     */
    boolean discardInput() {
        if (ended || !holdForCaller()) {
            return false;
        }
        try {
            channel.shutdownOutput();
        } catch (IOException reset) {
            return false;
        }
        discarding = true;
        selector.submit(registered -> setInterest(registered, SelectionKey.OP_READ));
        return true;
    }

    /** Tells whether the events of the connection belong to this class. */
    boolean isDiscarding() {
        return discarding;
    }

    private void setInterest(Selector registered, int operations) {
        SelectionKey key = channel.keyFor(registered);
        try {
            if (key != null) {
                key.interestOps(operations);
            }
        } catch (CancelledKeyException closed) {
            end();
        }
    }

    /** Discards the bytes that have arrived. Must be called by the selector thread. */
    void onReadable() {
        try {
            if (!discardAvailable()) {
                end();
            } else if (discardedBytes > LIMIT_BYTES) {
                setInterest(selector.getSelector(), NO_OPERATIONS);
            }
        } catch (IOException reset) {
            end();
        }
    }

    /** Returns false if the caller has closed the connection. */
    private boolean discardAvailable() throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
        int total = 0;
        int read = 1;
        while (read > 0 && total < READ_LIMIT_BYTES) {
            read = channel.read(buffer.clear());
            total += Math.max(0, read);
        }
        discardedBytes += total;
        return read >= 0;
    }

    /** Closes the connection at once. */
    void end() {
        release();
        closeEndPoint.run();
        IO.close(channel);
        // The socket of a registered channel stays open until the next selection.
        selector.submit(registered -> {});
    }

    /** Holds the connection no longer; its end point closes the socket. */
    void release() {
        ended = true;
        connections.remove(this);
        Scheduler.Task pending = timeout;
        if (pending != null) {
            pending.cancel();
        }
    }
}
