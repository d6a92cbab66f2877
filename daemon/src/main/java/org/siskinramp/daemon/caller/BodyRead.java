package org.siskinramp.daemon.caller;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.BufferUtil;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;

/**
 * Reads one body whole. The time limit is checked whenever a part arrives; a body that stalls is
 * ended by the idle time-out of the connection.
 */
final class BodyRead implements Runnable {

    private final Content.Source source;
    private final CallerServerOptions options;
    private final Clock clock;
    private final long endMilliseconds;
    private final BodyMemory.Share memory;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final CompletableFuture<byte[]> body = new CompletableFuture<>();

    BodyRead(
            Content.Source source,
            CallerServerOptions options,
            Clock clock,
            BodyMemory.Share memory) {
        this.source = source;
        this.options = options;
        this.clock = clock;
        this.endMilliseconds = clock.monotonicMilliseconds() + options.bodyTimeLimitMilliseconds();
        this.memory = memory;
    }

    /** Returns the body to come; fails with a {@link ResultException}. */
    CompletableFuture<byte[]> body() {
        return body;
    }

    /** Reads what has arrived and waits for the rest. */
    @Override
    public void run() {
        while (!body.isDone()) {
            Content.Chunk chunk = source.read();
            if (chunk == null) {
                source.demand(this);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                fail(refusalOf(chunk.getFailure()));
                return;
            }
            take(chunk);
        }
    }

    private void take(Content.Chunk chunk) {
        try {
            checkLimits(chunk.remaining());
            bytes.writeBytes(BufferUtil.toArray(chunk.getByteBuffer()));
            if (chunk.isLast()) {
                body.complete(bytes.toByteArray());
            }
        } catch (ResultException refusal) {
            fail(refusal);
        } finally {
            chunk.release();
        }
    }

    private void checkLimits(int moreBytes) {
        if (bytes.size() + moreBytes > options.bodyLimitBytes()) {
            throw new ResultException(
                    ResultCode.BODY_TOO_LARGE, "limit_bytes=" + options.bodyLimitBytes());
        }
        if (clock.monotonicMilliseconds() > endMilliseconds) {
            throw new ResultException(
                    ResultCode.REQUEST_INCOMPLETE,
                    "limit_ms=" + options.bodyTimeLimitMilliseconds());
        }
        memory.growTo(bytes.size() + moreBytes);
    }

    private static ResultException refusalOf(Throwable failure) {
        ResultCode code =
                failure instanceof TimeoutException
                        ? ResultCode.REQUEST_INCOMPLETE
                        : ResultCode.REQUEST_INVALID;
        return new ResultException(code, String.valueOf(failure));
    }

    private void fail(ResultException refusal) {
        source.fail(refusal);
        body.completeExceptionally(refusal);
    }
}
