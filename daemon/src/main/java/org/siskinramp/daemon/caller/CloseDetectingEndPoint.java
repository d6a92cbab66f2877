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
 * Detects that a caller closes its connection while its request is in progress, when the HTTP
 * connection itself does not read. To do so it reads ahead; bytes of a following (pipelined)
 * request that arrive meanwhile are buffered for the HTTP connection.
 */
final class CloseDetectingEndPoint extends SocketChannelEndPoint {

    private static final int READ_AHEAD_BYTES = 1024;

    private final Object stateLock = new Object();
    private final Callback readAheadCallback =
            new Callback() {
                @Override
                public void succeeded() {
                    onReadable();
                }

                @Override
                public void failed(Throwable failure) {
                    onReadFailure(failure);
                }

                @Override
                public InvocationType getInvocationType() {
                    return Invocable.InvocationType.NON_BLOCKING;
                }
            };

    private final Executor executor;
    private ByteBuffer readAheadBuffer = BufferUtil.EMPTY_BUFFER;
    private boolean endOfInput;
    private boolean readAheadPending;
    private Callback pendingReader;
    private Runnable closeListener;

    CloseDetectingEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler,
            Executor executor) {
        super(channel, selector, key, scheduler);
        this.executor = executor;
    }

    /**
     * Starts to read ahead in order to detect that the caller closes the connection.
     *
     * @param listener runs once when the caller has closed the connection
     */
    void setCloseListener(Runnable listener) {
        boolean closed;
        synchronized (stateLock) {
            closeListener = listener;
            closed = endOfInput || !isOpen();
            if (!closed && !readAheadPending && !readAheadBuffer.hasRemaining()) {
                readAheadPending = super.tryFillInterested(readAheadCallback);
            }
        }
        if (closed) {
            listener.run();
        }
    }

    /** Removes the listener, since the request has ended. */
    void clearCloseListener() {
        synchronized (stateLock) {
            closeListener = null;
        }
    }

    private void onReadable() {
        Callback waitingReader;
        Runnable listener = null;
        synchronized (stateLock) {
            readAheadPending = false;
            waitingReader = pendingReader;
            pendingReader = null;
            if (waitingReader == null && readAhead()) {
                listener = closeListener;
                closeListener = null;
            }
        }
        notifyListeners(waitingReader, listener);
    }

    /** Buffers bytes that have arrived; returns true if the caller has closed the connection. */
    private boolean readAhead() {
        ByteBuffer buffer = BufferUtil.allocate(READ_AHEAD_BYTES);
        try {
            int read = super.fill(buffer);
            endOfInput = read < 0;
            if (read > 0) {
                readAheadBuffer = buffer;
            } else if (read == 0) {
                readAheadPending = super.tryFillInterested(readAheadCallback);
            }
        } catch (IOException failure) {
            endOfInput = true;
        }
        return endOfInput;
    }

    private void onReadFailure(Throwable failure) {
        Callback waitingReader;
        Runnable listener;
        synchronized (stateLock) {
            readAheadPending = false;
            waitingReader = pendingReader;
            pendingReader = null;
            listener = closeListener;
            closeListener = null;
        }
        if (waitingReader != null) {
            waitingReader.failed(failure);
        }
        notifyListeners(null, listener);
    }

    private static void notifyListeners(Callback waitingReader, Runnable listener) {
        if (waitingReader != null) {
            waitingReader.succeeded();
        }
        if (listener != null) {
            listener.run();
        }
    }

    @Override
    public void fillInterested(Callback callback) {
        if (!takeOverInterest(callback)) {
            super.fillInterested(callback);
        }
    }

    @Override
    public boolean tryFillInterested(Callback callback) {
        return takeOverInterest(callback) || super.tryFillInterested(callback);
    }

    /**
     * Registers the read callback of the HTTP connection here if a read-ahead is pending, or runs
     * it at once if bytes are buffered or the input has ended. Returns false if neither applies.
     */
    private boolean takeOverInterest(Callback callback) {
        synchronized (stateLock) {
            if (readAheadPending) {
                pendingReader = callback;
                return true;
            }
            if (!readAheadBuffer.hasRemaining() && !endOfInput) {
                return false;
            }
        }
        executor.execute(callback::succeeded);
        return true;
    }

    @Override
    public boolean isFillInterested() {
        synchronized (stateLock) {
            return readAheadPending ? pendingReader != null : super.isFillInterested();
        }
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        synchronized (stateLock) {
            if (readAheadBuffer.hasRemaining()) {
                return BufferUtil.append(buffer, readAheadBuffer);
            }
            if (endOfInput) {
                return -1;
            }
        }
        return super.fill(buffer);
    }
}
