package org.siskinramp.follow;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.result.Futures;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/**
 * Follows one table: reads it once, then its changes, and all of it again once the store has
 * dropped the changes in between. Calls are paced, and further apart while the store fails. While a
 * peer tells what it reads, the table is covered and no calls are made.
 *
 * <p>The listener is called under the lock of the follower, so that it hears of versions in order;
 * a listener's locks are taken after it.
 *
 * @param <T> the type of an item
 */
public final class ChangeFollower<T> {

    /** Far longer than a lost answer needs to be noticed, so that a blip costs one call. */
    private static final long FIRST_PAUSE_MILLISECONDS = 100;

    /** Half of the time in which changes have to be in force after an outage. */
    private static final long LONGEST_PAUSE_MILLISECONDS = 1_000;

    private static final int DOUBLINGS_AT_MOST = 4;
    private static final long UNKNOWN = -1;

    private final String name;
    private final ChangeSource<T> source;
    private final Consumer<Changes<T>> listener;
    private final LongSupplier intervalMilliseconds;
    private final LongSupplier waitMilliseconds;
    private final Clock clock;
    private final Scheduler scheduler;
    private final EventLog eventLog;
    private long version = UNKNOWN;
    private long newestVersion = UNKNOWN;
    private volatile int failures;
    private final LastRead lastRead = new LastRead();
    private long coveredUntil = Long.MIN_VALUE / 2;
    private boolean wanted;
    private boolean asking;
    private Call call = new Call(UNKNOWN, 0, 0, false);
    private long newestTurn;
    private volatile boolean synced;
    private volatile boolean stopped;

    ChangeFollower(
            String name,
            ChangeSource<T> source,
            Consumer<Changes<T>> listener,
            LongSupplier intervalMilliseconds,
            LongSupplier waitMilliseconds,
            Clock clock,
            Scheduler scheduler,
            EventLog eventLog) {
        this.name = Objects.requireNonNull(name, "name");
        this.source = Objects.requireNonNull(source, "source");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.intervalMilliseconds =
                Objects.requireNonNull(intervalMilliseconds, "intervalMilliseconds");
        this.waitMilliseconds = Objects.requireNonNull(waitMilliseconds, "waitMilliseconds");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        this.eventLog = Objects.requireNonNull(eventLog, "eventLog");
    }

    /**
     * Starts to describe a follower.
     *
     * @param name the name of the table in log lines
     * @param source reads the table
     * @param listener takes what was read
     * @param <T> the type of an item
     * @return a builder, which needs clock, scheduler and event log
     */
    public static <T> ChangeFollowerBuilder<T> builder(
            String name, ChangeSource<T> source, Consumer<Changes<T>> listener) {
        return new ChangeFollowerBuilder<>(name, source, listener);
    }

    /**
     * Returns the name of the table.
     *
     * @return the name as it stands in log lines
     */
    public String name() {
        return name;
    }

    /** Starts to follow. */
    public void start() {
        ask(0);
    }

    /** Stops to follow. */
    public void stop() {
        stopped = true;
    }

    /**
     * Tells whether the table is known since the start.
     *
     * @return true after the first whole read, by this host or by one that told it
     */
    public boolean isSynced() {
        return synced;
    }

    /**
     * Tells whether the last call failed.
     *
     * @return true until a call is answered
     */
    public boolean isFailing() {
        return failures > 0;
    }

    /**
     * Returns how long ago a time ended in which nobody read the table for this host, long enough
     * for an entry to lapse.
     *
     * @return milliseconds, a long time if there was no such time
     */
    public long sinceGapMilliseconds() {
        return clock.monotonicMilliseconds() - lastRead.gapEndedAt();
    }

    /**
     * Tells whether the last read was that of a peer.
     *
     * @return false if this host read the table itself
     */
    public boolean isTold() {
        return lastRead.isTold();
    }

    /**
     * Makes no calls until a time, since a peer tells what it reads of the table.
     *
     * @param milliseconds the monotonic time
     */
    public synchronized void coverUntil(long milliseconds) {
        coveredUntil = Math.max(coveredUntil, milliseconds);
    }

    /** Reads at once and goes on reading, since no peer tells what it reads any more. */
    public void endCover() {
        synchronized (this) {
            coveredUntil = Long.MIN_VALUE / 2;
        }
        readNow();
    }

    /**
     * Tells whether a peer's reads stand in for own ones now.
     *
     * @return true while no calls are made
     */
    public synchronized boolean isCovered() {
        return clock.monotonicMilliseconds() < coveredUntil;
    }

    /**
     * Returns the version up to which the table is known.
     *
     * @return the version, -1 before the first read
     */
    public synchronized long version() {
        return version;
    }

    /**
     * Returns how long ago the table was read, by this host or by one that told it.
     *
     * @return milliseconds, a long time before the first read
     */
    public long ageMilliseconds() {
        return clock.monotonicMilliseconds() - lastRead.readAt();
    }

    /**
     * Takes in that a peer read the table and found no change after a version.
     *
     * @param unchangedSince the version of the last change that the peer knows
     * @param ageMilliseconds how long ago it read the table
     */
    public synchronized void confirm(long unchangedSince, long ageMilliseconds) {
        if (version != UNKNOWN && version >= unchangedSince) {
            lastRead.renew(clock.monotonicMilliseconds() - ageMilliseconds, true);
        }
    }

    /**
     * Takes what a peer read of the table. What is older than what was known here is passed over,
     * also after the store has dropped the changes in between.
     *
     * @param sinceVersion the version after which the changes are told, if they are not all
     * @param changes what the peer read
     * @param ageMilliseconds how long ago it was read
     * @return false if changes before them are missing here
     */
    public synchronized boolean offer(long sinceVersion, Changes<T> changes, long ageMilliseconds) {
        if (stopped) {
            return false;
        }
        long offeredReadAt = clock.monotonicMilliseconds() - ageMilliseconds;
        if (version != UNKNOWN && changes.version() <= version) {
            if (changes.version() == version) {
                lastRead.renew(offeredReadAt, true);
            }
            return true;
        }
        boolean continues = version != UNKNOWN && sinceVersion <= version;
        if (changes.version() < newestVersion || !(changes.whole() || continues)) {
            return false;
        }
        follow(changes, offeredReadAt, true);
        return true;
    }

    private void follow(Changes<T> changes, long readAt, boolean told) {
        lastRead.renew(readAt, told);
        version = changes.version();
        newestVersion = Math.max(newestVersion, version);
        listener.accept(changes);
        synced = true;
    }

    /** Reads the changes soon, though the table is covered. */
    public void readNow() {
        synchronized (this) {
            wanted = true;
            if (asking) {
                return;
            }
        }
        schedule(0);
    }

    private void schedule(long pause) {
        long turn;
        synchronized (this) {
            newestTurn++;
            turn = newestTurn;
        }
        scheduler.schedule(pause, () -> ask(turn));
    }

    private void ask(long turn) {
        long from;
        long covered;
        Call made;
        synchronized (this) {
            if (stopped || asking || turn != newestTurn) {
                return;
            }
            long now = clock.monotonicMilliseconds();
            covered = wanted ? 0 : coveredUntil - now;
            asking = covered <= 0;
            // While the store fails, a call that waits would notice its return late.
            long wait = failures > 0 ? 0 : waitMilliseconds.getAsLong();
            made = new Call(newestVersion, now, wait, wanted);
            call = made;
            wanted &= !asking;
            from = version;
        }
        if (covered > 0) {
            schedule(covered);
            return;
        }
        CompletableFuture<Changes<T>> answer =
                from == UNKNOWN
                        ? source.readAll()
                        : source.changesAfter(from, made.waitMilliseconds);
        Futures.whenDone(
                answer,
                (changes, failure) -> {
                    if (failure == null && changes.version() < made.newestVersion) {
                        failed(behind(changes, made));
                    } else if (failure == null) {
                        take(changes);
                    } else {
                        failed(ResultException.from(failure));
                    }
                });
    }

    /** A read that misses what is known here would bring back what has gone. */
    private static ResultException behind(Changes<?> changes, Call made) {
        return new ResultException(
                ResultCode.PLATFORM_UNAVAILABLE,
                "read is behind: version=" + changes.version() + " known=" + made.newestVersion);
    }

    private void take(Changes<T> changes) {
        long pause = 0;
        try {
            synchronized (this) {
                asking = false;
                logReturn(changes);
                long now = clock.monotonicMilliseconds();
                long next = call.askedAt + intervalMilliseconds.getAsLong();
                pause = wanted ? 0 : Math.max(0, next - now);
                if (changes.version() >= version) {
                    // A peer may have told more while the answer was on its way.
                    follow(changes, call.readAt(changes, now), false);
                }
            }
        } finally {
            schedule(pause);
        }
    }

    private void logReturn(Changes<T> changes) {
        if (failures > 0) {
            eventLog.record(
                    LogEvent.named("store_regained")
                            .with("table", name)
                            .with("failures", failures)
                            .with("version", changes.version()));
            failures = 0;
        }
    }

    private void failed(ResultException failure) {
        long pause = 0;
        synchronized (this) {
            asking = false;
            boolean historyGone = failure.code() == ResultCode.HISTORY_GONE && version != UNKNOWN;
            // A covered table is read again only if somebody wants it read.
            wanted |= call.wanted || historyGone;
            if (historyGone) {
                eventLog.record(
                        LogEvent.named("store_history_gone")
                                .with("table", name)
                                .with("version", version));
                version = UNKNOWN;
            } else {
                pause = FIRST_PAUSE_MILLISECONDS << Math.min(failures, DOUBLINGS_AT_MOST);
                failures = failures + 1;
                logLoss(failure);
            }
        }
        schedule(Math.min(pause, LONGEST_PAUSE_MILLISECONDS));
    }

    private void logLoss(ResultException failure) {
        if (failures == 1) {
            eventLog.record(
                    LogEvent.named("store_lost")
                            .with("table", name)
                            .with("version", version)
                            .with("result_code", failure.code().number())
                            .with("cause", failure.getMessage()));
        }
    }

    /** Holds what was known when a call was made, and whether it was made though covered. */
    private record Call(long newestVersion, long askedAt, long waitMilliseconds, boolean wanted) {

        /** An answer may be late, so that only the call's time is sure, or the end of its wait. */
        private long readAt(Changes<?> changes, long now) {
            boolean waited = waitMilliseconds > 0 && !changes.items().isEmpty();
            return waited ? now : Math.min(now, askedAt + waitMilliseconds);
        }
    }
}
