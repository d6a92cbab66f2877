package org.siskinramp.daemon.caller;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.Content;
import org.siskinramp.daemon.buffer.BodyBuffer;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;

/**
 * Reads the body of one request completely. The time limit is checked whenever a chunk arrives; a
 * body that stalls between two chunks is aborted by the idle timeout of the connection.
 */
final class RequestBodyReader implements Runnable {

    private final Content.Source source;
    private final CallerServerOptions options;
    private final Clock clock;
    private final long deadlineMilliseconds;
    private final BodyBuffer buffer;
    private final CompletableFuture<byte[]> body = new CompletableFuture<>();

    RequestBodyReader(
            Content.Source source, CallerServerOptions options, Clock clock, BodyBuffer buffer) {
        this.source = source;
        this.options = options;
        this.clock = clock;
        this.deadlineMilliseconds =
                clock.monotonicMilliseconds() + options.bodyTimeLimitMilliseconds();
        this.buffer = buffer;
    }

    /** Returns the complete body once it is read; fails with a {@link ResultException}. */
    CompletableFuture<byte[]> body() {
        return body;
    }

    /**
     * Reads the chunks that have arrived and registers for the next one. Whatever is thrown on the
     * way ends the body, so that its request is refused and gives back its memory.
     */
    @Override
    public void run() {
        try {
            readAvailable();
        } catch (ResultException refusal) {
            fail(refusal);
        } catch (OutOfMemoryError failure) {
            fail(
                    new ResultException(
                            ResultCode.TOO_MANY_REQUESTS,
                            String.valueOf(failure),
                            BodyMemoryBudget.RETRY_DELAY_MILLISECONDS));
        } catch (RuntimeException | Error failure) {
            fail(new ResultException(ResultCode.INVARIANT_VIOLATED, "request body", failure));
        }
    }

    private void readAvailable() {
        while (!body.isDone()) {
            Content.Chunk chunk = source.read();
            if (chunk == null) {
                source.demand(this);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                throw refusalOf(chunk.getFailure());
            }
            append(chunk);
        }
    }

    private void append(Content.Chunk chunk) {
        try {
            checkLimits(chunk.remaining());
            buffer.add(chunk.getByteBuffer());
        } finally {
            chunk.release();
        }
        if (chunk.isLast()) {
            body.complete(buffer.toBytes());
        }
    }

    private void checkLimits(int chunkBytes) {
        if (buffer.size() + chunkBytes > options.bodyLimitBytes()) {
            throw new ResultException(
                    ResultCode.BODY_TOO_LARGE, "limit_bytes=" + options.bodyLimitBytes());
        }
        if (clock.monotonicMilliseconds() > deadlineMilliseconds) {
            throw new ResultException(
                    ResultCode.REQUEST_INCOMPLETE,
                    "limit_ms=" + options.bodyTimeLimitMilliseconds());
        }
    }

    private static ResultException refusalOf(Throwable failure) {
        ResultCode code =
                failure instanceof TimeoutException
                        ? ResultCode.REQUEST_INCOMPLETE
                        : ResultCode.REQUEST_INVALID;
        return new ResultException(code, String.valueOf(failure));
    }

    private void fail(ResultException refusal) {
        buffer.clear();
        body.completeExceptionally(refusal);
    }
}
