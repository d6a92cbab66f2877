package org.siskinramp.daemon.caller;

import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import org.siskinramp.time.Clock;

/**
 * Reads and discards the rest of a refused request. If the connection were closed while the caller
 * still sends, the caller would be reset before it has read the refusal.
 */
final class RequestBodyDrain implements Runnable {

    private static final long LIMIT_BYTES = 16 * 1024 * 1024;
    private static final long LIMIT_MILLISECONDS = 5_000;

    private final Content.Source source;
    private final Clock clock;
    private final long deadlineMilliseconds;
    private final Callback callback;
    private long bytes;

    /**
     * Creates a drain, which is started by running it.
     *
     * @param source the body
     * @param clock limits the time
     * @param callback succeeds at the end of the body, or once a limit is reached
     */
    RequestBodyDrain(Content.Source source, Clock clock, Callback callback) {
        this.source = source;
        this.clock = clock;
        this.deadlineMilliseconds = clock.monotonicMilliseconds() + LIMIT_MILLISECONDS;
        this.callback = callback;
    }

    @Override
    public void run() {
        while (true) {
            Content.Chunk chunk = source.read();
            if (chunk == null) {
                source.demand(this);
                return;
            }
            bytes += chunk.remaining();
            boolean ended = chunk.isLast() || Content.Chunk.isFailure(chunk) || isLimitReached();
            chunk.release();
            if (ended) {
                callback.succeeded();
                return;
            }
        }
    }

    private boolean isLimitReached() {
        return bytes > LIMIT_BYTES || clock.monotonicMilliseconds() > deadlineMilliseconds;
    }
}
