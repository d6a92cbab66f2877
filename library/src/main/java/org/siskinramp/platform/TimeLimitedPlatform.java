package org.siskinramp.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.log.Counter;
import org.siskinramp.log.Counters;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Scheduler;

/**
 * Wraps a platform to limit the time of every call and to count the transactions.
 *
 * <p>After the time limit a write fails with {@code PLATFORM_ANSWER_LOST}, a read with {@code
 * PLATFORM_UNAVAILABLE}.
 */
public final class TimeLimitedPlatform implements Platform {

    private final Platform platform;
    private final Scheduler scheduler;
    private final Counters counters;
    private final long limitMilliseconds;

    /**
     * Wraps a platform.
     *
     * @param platform the platform
     * @param scheduler runs the timers
     * @param counters counts the transactions
     * @param limitMilliseconds the time limit of a call, in milliseconds
     */
    public TimeLimitedPlatform(
            Platform platform, Scheduler scheduler, Counters counters, long limitMilliseconds) {
        this.platform = platform;
        this.scheduler = scheduler;
        this.counters = counters;
        this.limitMilliseconds = limitMilliseconds;
    }

    @Override
    public CompletableFuture<Void> commit(List<Write> writes) {
        counters.add(Counter.PLATFORM_WRITES);
        return withTimeLimit(platform.commit(writes), ResultCode.PLATFORM_ANSWER_LOST);
    }

    @Override
    public CompletableFuture<List<Row>> read(List<RowKey> keys) {
        return withTimeLimit(platform.read(keys), ResultCode.PLATFORM_UNAVAILABLE);
    }

    @Override
    public CompletableFuture<List<Row>> scan(
            String table, String keyPrefix, String afterKey, int limit) {
        return withTimeLimit(
                platform.scan(table, keyPrefix, afterKey, limit), ResultCode.PLATFORM_UNAVAILABLE);
    }

    @Override
    public CompletableFuture<Void> putObject(String name, byte[] content) {
        return withTimeLimit(platform.putObject(name, content), ResultCode.PLATFORM_ANSWER_LOST);
    }

    @Override
    public CompletableFuture<Optional<byte[]>> getObject(String name) {
        return withTimeLimit(platform.getObject(name), ResultCode.PLATFORM_UNAVAILABLE);
    }

    @Override
    public CompletableFuture<List<String>> listObjects(String prefix) {
        return withTimeLimit(platform.listObjects(prefix), ResultCode.PLATFORM_UNAVAILABLE);
    }

    @Override
    public CompletableFuture<List<ListedHost>> hosts() {
        return withTimeLimit(platform.hosts(), ResultCode.PLATFORM_UNAVAILABLE);
    }

    private <T> CompletableFuture<T> withTimeLimit(CompletableFuture<T> answer, ResultCode code) {
        CompletableFuture<T> timed = answer.copy();
        scheduler.schedule(
                limitMilliseconds,
                () ->
                        timed.completeExceptionally(
                                new ResultException(
                                        code, "no answer within " + limitMilliseconds + " ms")));
        return timed;
    }
}
