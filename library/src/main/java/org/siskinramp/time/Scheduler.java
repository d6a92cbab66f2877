package org.siskinramp.time;

/**
 * Runs a task on a worker thread after a delay. The library uses it instead of sleeping or creating
 * threads.
 */
@FunctionalInterface
public interface Scheduler {

    /**
     * Runs the task once after a delay.
     *
     * @param delayMilliseconds the delay in milliseconds, zero or more
     * @param task the task
     */
    void schedule(long delayMilliseconds, Runnable task);
}
