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
 * A fixed pool of threads that run tasks. One more thread waits for the delays of delayed tasks and
 * hands them to the pool.
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
     * @param count the number of threads, at least 1
     * @param eventLog receives events about failed tasks
     * @param counters counts failed tasks
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
                        daemonThreadFactory("worker-"),
                        new ThreadPoolExecutor.DiscardPolicy());
        timer = new ScheduledThreadPoolExecutor(1, daemonThreadFactory("timer-"));
        timer.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        timer.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
    }

    private static ThreadFactory daemonThreadFactory(String prefix) {
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

    // runLogged reports failures, so that the future can be ignored.
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
                            .with("place", topStackFrame(failure)));
        }
    }

    private static String topStackFrame(Throwable failure) {
        StackTraceElement[] trace = failure.getStackTrace();
        return trace.length == 0 ? "unknown" : trace[0].toString();
    }

    /**
     * Returns how many tasks wait for a free thread.
     *
     * @return the number of tasks, without those whose delay has not passed
     */
    public int queuedTasks() {
        return pool.getQueue().size();
    }

    /** Stops the threads and discards all tasks that have not started. */
    public void stop() {
        timer.shutdownNow();
        pool.shutdownNow();
    }
}
