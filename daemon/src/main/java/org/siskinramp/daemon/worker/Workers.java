package org.siskinramp.daemon.worker;

import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.siskinramp.log.Counter;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.time.Scheduler;

/**
 * Runs tasks on a fixed number of threads. One more thread waits for the delays and runs nothing
 * itself.
 *
 * <pre>{@code
 * Workers workers = new Workers(4, eventLog, counters);
 * workers.schedule(500, this::sendHeartbeats);
 * }</pre>
 */
public final class Workers implements Scheduler, Executor {

    private final EventLog eventLog;
    private final Counters counters;
    private final ThreadPoolExecutor pool;
    private final ScheduledThreadPoolExecutor timer;

    /**
     * Starts the workers.
     *
     * @param count how many, one or more
     * @param eventLog is told of tasks that failed
     * @param counters counts tasks that failed
     */
    public Workers(int count, EventLog eventLog, Counters counters) {
        this.eventLog = eventLog;
        this.counters = counters;
        pool =
                new ThreadPoolExecutor(
                        count,
                        count,
                        0,
                        TimeUnit.MILLISECONDS,
                        new LinkedBlockingQueue<>(),
                        threads("worker-"),
                        new ThreadPoolExecutor.DiscardPolicy());
        timer = new ScheduledThreadPoolExecutor(1, threads("timer-"));
        timer.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        timer.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
    }

    private static ThreadFactory threads(String prefix) {
        AtomicInteger number = new AtomicInteger();
        return task -> {
            Thread thread = new Thread(task, prefix + number.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        };
    }

    @Override
    public void execute(Runnable task) {
        pool.execute(() -> runLogged(task));
    }

    // A task reports its failure itself, so the future has nothing more to tell.
    @SuppressWarnings("FutureReturnValueIgnored")
    @Override
    public void schedule(long delayMilliseconds, Runnable task) {
        if (delayMilliseconds <= 0) {
            execute(task);
        } else {
            timer.schedule(() -> execute(task), delayMilliseconds, TimeUnit.MILLISECONDS);
        }
    }

    private void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error failure) {
            counters.add(Counter.INVARIANT_VIOLATIONS);
            eventLog.record(
                    LogEvent.named("worker_failed")
                            .with("cause", failure)
                            .with("place", placeOf(failure)));
        }
    }

    private static String placeOf(Throwable failure) {
        StackTraceElement[] trace = failure.getStackTrace();
        return trace.length == 0 ? "unknown" : trace[0].toString();
    }

    /**
     * Counts the tasks that wait for a worker.
     *
     * @return the waiting tasks, without those whose delay has not passed
     */
    public int waiting() {
        return pool.getQueue().size();
    }

    /** Drops all tasks that have not begun. */
    public void stop() {
        timer.shutdownNow();
        pool.shutdownNow();
    }
}
