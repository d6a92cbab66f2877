package org.siskinramp.time;

/**
 * Runs a task later on a worker. The decisions use it in place of sleeping or of threads of their
 * own.
 */
@FunctionalInterface
public interface Scheduler {

    /**
     * Runs the task once after a delay.
     *
     * @param delayMilliseconds the delay in milliseconds, zero or more
     * @param task what to run
     */
    void schedule(long delayMilliseconds, Runnable task);
}
