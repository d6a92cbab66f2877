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
 * Puts a time limit on every call to the platform and counts the transactions.
 *
 * <p>A write without an answer in time fails with {@code PLATFORM_ANSWER_LOST}, a read with {@code
 * PLATFORM_UNAVAILABLE}.
 */
public final class TimedPlatform implements Platform {

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
     * @param limitMilliseconds how long a call may take, in milliseconds
     */
    public TimedPlatform(
            Platform platform, Scheduler scheduler, Counters counters, long limitMilliseconds) {
        this.platform = platform;
        this.scheduler = scheduler;
        this.counters = counters;
        this.limitMilliseconds = limitMilliseconds;
    }

    @Override
    public CompletableFuture<Void> commit(List<Write> writes) {
        counters.add(Counter.PLATFORM_WRITES);
        return within(platform.commit(writes), ResultCode.PLATFORM_ANSWER_LOST);
    }

    @Override
    public CompletableFuture<List<Row>> read(List<RowKey> keys) {
        return within(platform.read(keys), ResultCode.PLATFORM_UNAVAILABLE);
    }

    @Override
    public CompletableFuture<List<Row>> scan(
            String table, String keyPrefix, String afterKey, int limit) {
        return within(
                platform.scan(table, keyPrefix, afterKey, limit), ResultCode.PLATFORM_UNAVAILABLE);
    }

    @Override
    public CompletableFuture<Void> putObject(String name, byte[] content) {
        return within(platform.putObject(name, content), ResultCode.PLATFORM_ANSWER_LOST);
    }

    @Override
    public CompletableFuture<Optional<byte[]>> getObject(String name) {
        return within(platform.getObject(name), ResultCode.PLATFORM_UNAVAILABLE);
    }

    @Override
    public CompletableFuture<List<String>> listObjects(String prefix) {
        return within(platform.listObjects(prefix), ResultCode.PLATFORM_UNAVAILABLE);
    }

    @Override
    public CompletableFuture<List<ListedHost>> hosts() {
        return within(platform.hosts(), ResultCode.PLATFORM_UNAVAILABLE);
    }

    private <T> CompletableFuture<T> within(CompletableFuture<T> answer, ResultCode code) {
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
