package org.siskinramp.daemon.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Notices that a caller closes its connection while its request is in progress, when the HTTP
 * connection itself does not read. Bytes of a next request that arrive meanwhile are kept for it.
 */
final class WatchedEndPoint extends SocketChannelEndPoint {

    private static final int AHEAD_BYTES = 1024;

    private final Object guard = new Object();
    private final Callback lookAhead =
            new Callback() {
                @Override
                public void succeeded() {
                    readable();
                }

                @Override
                public void failed(Throwable failure) {
                    broken(failure);
                }

                @Override
                public InvocationType getInvocationType() {
                    return Invocable.InvocationType.NON_BLOCKING;
                }
            };

    private final Executor executor;
    private ByteBuffer ahead = BufferUtil.EMPTY_BUFFER;
    private boolean ended;
    private boolean looking;
    private Callback reader;
    private Runnable gone;

    WatchedEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler,
            Executor executor) {
        super(channel, selector, key, scheduler);
        this.executor = executor;
    }

    /**
     * Starts to look for the end of the connection.
     *
     * @param action what to do once the caller has closed it
     */
    void watch(Runnable action) {
        boolean over;
        synchronized (guard) {
            gone = action;
            over = ended || !isOpen();
            if (!over && !looking && !ahead.hasRemaining()) {
                looking = super.tryFillInterested(lookAhead);
            }
        }
        if (over) {
            action.run();
        }
    }

    /** Stops to look, since the request has ended. */
    void unwatch() {
        synchronized (guard) {
            gone = null;
        }
    }

    private void readable() {
        Callback next;
        Runnable action = null;
        synchronized (guard) {
            looking = false;
            next = reader;
            reader = null;
            if (next == null && readAhead()) {
                action = gone;
                gone = null;
            }
        }
        run(next, action);
    }

    /** Reads what has arrived; returns true if the connection has ended. */
    private boolean readAhead() {
        ByteBuffer buffer = BufferUtil.allocate(AHEAD_BYTES);
        try {
            int read = super.fill(buffer);
            ended = read < 0;
            if (read > 0) {
                ahead = buffer;
            } else if (read == 0) {
                looking = super.tryFillInterested(lookAhead);
            }
        } catch (IOException failure) {
            ended = true;
        }
        return ended;
    }

    private void broken(Throwable failure) {
        Callback next;
        Runnable action;
        synchronized (guard) {
            looking = false;
            next = reader;
            reader = null;
            action = gone;
            gone = null;
        }
        if (next != null) {
            next.failed(failure);
        }
        run(null, action);
    }

    private static void run(Callback next, Runnable action) {
        if (next != null) {
            next.succeeded();
        }
        if (action != null) {
            action.run();
        }
    }

    @Override
    public void fillInterested(Callback callback) {
        if (!register(callback)) {
            super.fillInterested(callback);
        }
    }

    @Override
    public boolean tryFillInterested(Callback callback) {
        return register(callback) || super.tryFillInterested(callback);
    }

    /** Takes the interest of the HTTP connection over if this end point looks or has bytes. */
    private boolean register(Callback callback) {
        synchronized (guard) {
            if (looking) {
                reader = callback;
                return true;
            }
            if (!ahead.hasRemaining() && !ended) {
                return false;
            }
        }
        executor.execute(callback::succeeded);
        return true;
    }

    @Override
    public boolean isFillInterested() {
        synchronized (guard) {
            return looking ? reader != null : super.isFillInterested();
        }
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        synchronized (guard) {
            if (ahead.hasRemaining()) {
                return BufferUtil.append(buffer, ahead);
            }
            if (ended) {
                return -1;
            }
        }
        return super.fill(buffer);
    }
}
