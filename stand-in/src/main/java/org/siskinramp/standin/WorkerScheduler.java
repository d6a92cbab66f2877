package org.siskinramp.standin;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.siskinramp.time.Scheduler;

/** Runs delayed tasks on a pool of daemon threads. */
public final class WorkerScheduler implements Scheduler, AutoCloseable {

    private final ScheduledThreadPoolExecutor executor;

    /**
     * Starts the thread pool.
     *
     * @param threads the number of threads
     */
    public WorkerScheduler(int threads) {
        executor = new ScheduledThreadPoolExecutor(threads, WorkerScheduler::daemonThread);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        executor.setRemoveOnCancelPolicy(true);
    }

    // Failures go to the thread's uncaught exception handler, so the future is not needed.
    @SuppressWarnings("FutureReturnValueIgnored")
    @Override
    public void schedule(long delayMilliseconds, Runnable task) {
        if (!executor.isShutdown()) {
            executor.schedule(() -> reportFailure(task), delayMilliseconds, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void close() {
        executor.shutdown();
    }

    private static void reportFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException failure) {
            Thread thread = Thread.currentThread();
            thread.getUncaughtExceptionHandler().uncaughtException(thread, failure);
        }
    }

    private static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task, "stand-in-worker");
        thread.setDaemon(true);
        return thread;
    }
}
