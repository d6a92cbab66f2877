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

    private static final int READ_BYTES = 1024;

    /** Bytes that one call reads at most, so that a caller that floods delays no other. */
    private static final int READ_LIMIT_BYTES = 64 * 1024;

    private static final int END_OF_INPUT = -1;

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
    private final ReadAheadBuffer readAheadBuffer;
    private boolean endOfInput;
    private boolean readAheadPending;
    private Callback pendingReader;
    private Runnable closeListener;

    CloseDetectingEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler,
            Executor executor,
            BodyMemoryBudget memoryBudget) {
        super(channel, selector, key, scheduler);
        this.executor = executor;
        this.readAheadBuffer = new ReadAheadBuffer(memoryBudget);
    }

    /**
     * Starts to read ahead in order to detect that the caller closes the connection.
     *
     * @param listener runs once when the caller has closed the connection
     */
    void setCloseListener(Runnable listener) {
        boolean closed;
        synchronized (stateLock) {
            closed = endOfInput || !isOpen();
            if (!closed) {
                closeListener = listener;
                registerReadAhead();
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

    /**
     * Reads what has arrived, which finds a close that no event has reported yet. Must be called by
     * the thread that handles a request, before a listener is set.
     *
     * @return true if the caller has closed the connection
     */
    boolean isClosedBeforeProcessing() {
        synchronized (stateLock) {
            readAhead();
            return endOfInput || !isOpen();
        }
    }

    /**
     * Does the same while a request is in progress, that is, while a listener is set. Otherwise it
     * reads nothing, since the HTTP connection would wait for the bytes that were read here.
     *
     * @return true if the caller is known to have closed the connection
     */
    boolean isClosedByCaller() {
        boolean closed;
        Runnable listener;
        synchronized (stateLock) {
            if (closeListener != null) {
                readAhead();
            }
            closed = endOfInput || !isOpen();
            listener = closed ? takeCloseListener() : null;
        }
        notifyListeners(null, listener);
        return closed;
    }

    /**
     * Tells whether the caller sent so much ahead of its answer that it was discarded. Nothing can
     * be read after that, so the connection must be closed after the answer.
     */
    boolean hasDiscardedInput() {
        synchronized (stateLock) {
            return readAheadBuffer.isOverflowed();
        }
    }

    private void registerReadAhead() {
        if (!readAheadPending) {
            readAheadPending = super.tryFillInterested(readAheadCallback);
        }
    }

    private Runnable takeCloseListener() {
        Runnable listener = closeListener;
        closeListener = null;
        return listener;
    }

    private void onReadable() {
        Callback waitingReader;
        Runnable listener = null;
        synchronized (stateLock) {
            readAheadPending = false;
            waitingReader = pendingReader;
            pendingReader = null;
            if (waitingReader == null) {
                readAhead();
                if (endOfInput) {
                    listener = takeCloseListener();
                } else if (closeListener != null || !readAheadBuffer.hasRemaining()) {
                    registerReadAhead();
                }
            }
        }
        notifyListeners(waitingReader, listener);
    }

    /** Buffers bytes that have arrived, and notes whether the caller has closed the connection. */
    private void readAhead() {
        int total = 0;
        try {
            int read = 1;
            while (read > 0 && total < READ_LIMIT_BYTES && !endOfInput) {
                ByteBuffer buffer = BufferUtil.allocate(READ_BYTES);
                read = super.fill(buffer);
                endOfInput = read < 0;
                if (read > 0) {
                    readAheadBuffer.add(buffer);
                    total += read;
                }
            }
        } catch (IOException failure) {
            endOfInput = true;
        }
    }

    private void onReadFailure(Throwable failure) {
        Callback waitingReader;
        Runnable listener;
        synchronized (stateLock) {
            readAheadPending = false;
            waitingReader = pendingReader;
            pendingReader = null;
            listener = takeCloseListener();
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
    public void onClose(Throwable cause) {
        synchronized (stateLock) {
            readAheadBuffer.clear();
        }
        super.onClose(cause);
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
     * Runs the read callback of the HTTP connection at once if bytes are buffered or the input has
     * ended, or registers it here if a read-ahead is pending. Returns false if neither applies.
     */
    private boolean takeOverInterest(Callback callback) {
        synchronized (stateLock) {
            boolean readable =
                    readAheadBuffer.hasRemaining() || readAheadBuffer.isOverflowed() || endOfInput;
            if (!readable && readAheadPending) {
                pendingReader = callback;
                return true;
            }
            if (!readable) {
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
                return readAheadBuffer.moveTo(buffer);
            }
            if (endOfInput || readAheadBuffer.isOverflowed()) {
                return END_OF_INPUT;
            }
            return super.fill(buffer);
        }
    }
}
