package org.siskinramp.daemon.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.internal.HttpConnection;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Detects that a caller closes its connection while its request is in progress, when the HTTP
 * connection itself does not read. To do so it reads ahead; bytes of a following (pipelined)
 * request that arrive meanwhile are buffered for the HTTP connection.
 */
final class CloseDetectingEndPoint extends SocketChannelEndPoint implements LookAhead.Input {

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
    private final ConnectionInput input;
    private final LookAhead lookAhead;
    private final LingeringClose lingeringClose;
    private boolean readAheadPending;
    private Callback pendingReader;
    private Runnable closeListener;

    CloseDetectingEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler,
            Executor executor,
            ConnectionParts parts) {
        super(channel, selector, key, scheduler);
        this.executor = executor;
        this.input = new ConnectionInput(parts.memoryBudget(), parts.parser());
        this.lookAhead = parts.newLookAhead(this);
        this.lingeringClose =
                new LingeringClose(
                        channel, selector, scheduler, parts.lingeringConnections(), this::close);
    }

    /**
     * Starts to read ahead in order to detect that the caller closes the connection.
     *
     * @param listener runs when the caller has closed the connection, once for each thread that
     *     finds this, so that the request is cancelled when {@link #isClosedByCaller} returns true
     */
    void setCloseListener(Runnable listener) {
        boolean closed;
        synchronized (stateLock) {
            closed = input.isEnded() || !isOpen();
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
            boolean unused = input.readAhead(super::fill);
            return input.isEnded() || !isOpen();
        }
    }

    /**
     * Does the same while a request is in progress, that is, while a listener is set, or bytes are
     * buffered. Otherwise it reads nothing, since the HTTP connection would wait for the bytes that
     * were read here.
     *
     * @return true if the caller is known to have closed the connection
     */
    @Override
    public boolean isClosedByCaller() {
        boolean closed;
        Runnable listener;
        synchronized (stateLock) {
            if ((closeListener != null || input.hasBufferedBytes())
                    && input.readAhead(super::fill)) {
                // Not here, since the gateway that asks may hold locks.
                executor.execute(lookAhead::advance);
            }
            closed = input.isEnded() || !isOpen();
            listener = closed ? closeListener : null;
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
            return input.isOverflowed();
        }
    }

    LookAhead lookAhead() {
        return lookAhead;
    }

    /** Tells whether the HTTP connection has read nothing behind a request without a body. */
    boolean isAtEndOfRequest() {
        synchronized (stateLock) {
            return input.isAtEndOfRequest();
        }
    }

    @Override
    public ByteBuffer copyFrom(int skippedBytes) {
        synchronized (stateLock) {
            return input.copyFrom(skippedBytes);
        }
    }

    private void registerReadAhead() {
        if (!readAheadPending) {
            readAheadPending = super.tryFillInterested(readAheadCallback);
        }
    }

    private void onReadable() {
        Callback waitingReader;
        Runnable listener = null;
        boolean ended;
        synchronized (stateLock) {
            readAheadPending = false;
            waitingReader = pendingReader;
            pendingReader = null;
            if (waitingReader == null) {
                boolean unused = input.readAhead(super::fill);
                if (input.isEnded()) {
                    listener = closeListener;
                } else if (closeListener != null || !input.hasBufferedBytes()) {
                    registerReadAhead();
                }
            }
            ended = input.isEnded();
        }
        notifyListeners(waitingReader, listener);
        if (ended) {
            lookAhead.close();
        } else if (waitingReader == null) {
            lookAhead.advance();
        }
    }

    private void onReadFailure(Throwable failure) {
        Callback waitingReader;
        Runnable listener;
        synchronized (stateLock) {
            readAheadPending = false;
            waitingReader = pendingReader;
            pendingReader = null;
            listener = closeListener;
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

    /** Closes the socket, but not before the caller has received what was written to it. */
    @Override
    public void doClose() {
        boolean closedByCaller;
        synchronized (stateLock) {
            closedByCaller = input.isEnded();
        }
        if (closedByCaller || !lingeringClose.discardInput()) {
            lingeringClose.release();
            super.doClose();
        }
    }

    @Override
    protected void doShutdownOutput() {
        super.doShutdownOutput();
        var unused = lingeringClose.holdForCaller();
    }

    @Override
    public boolean isOpen() {
        return !lingeringClose.isDiscarding() && super.isOpen();
    }

    @Override
    public Runnable onSelected() {
        if (!lingeringClose.isDiscarding()) {
            return super.onSelected();
        }
        lingeringClose.onReadable();
        return null;
    }

    @Override
    public void updateKey() {
        if (!lingeringClose.isDiscarding()) {
            super.updateKey();
        }
    }

    @Override
    public void onClose(Throwable cause) {
        synchronized (stateLock) {
            input.clear();
        }
        lookAhead.close();
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
            boolean readable = input.isReadable();
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
            return input.fill(buffer, super::fill, startsRequest());
        }
    }

    /** Whether the HTTP connection has read nothing of its next request. */
    private boolean startsRequest() {
        return getConnection() instanceof HttpConnection connection
                && connection.getParser().isStart();
    }
}
