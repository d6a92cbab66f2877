package org.siskinramp.standin;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.siskinramp.time.Scheduler;

/** Runs delayed tasks on a few daemon threads. */
public final class WorkerScheduler implements Scheduler, AutoCloseable {

    private final ScheduledThreadPoolExecutor workers;

    /**
     * Starts the workers.
     *
     * @param threads how many
     */
    public WorkerScheduler(int threads) {
        workers = new ScheduledThreadPoolExecutor(threads, WorkerScheduler::daemonThread);
        workers.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        workers.setRemoveOnCancelPolicy(true);
    }

    // The task reports its own failure, so the future has nothing more to tell.
    @SuppressWarnings("FutureReturnValueIgnored")
    @Override
    public void schedule(long delayMilliseconds, Runnable task) {
        if (!workers.isShutdown()) {
            workers.schedule(() -> reportFailure(task), delayMilliseconds, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void close() {
        workers.shutdown();
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
