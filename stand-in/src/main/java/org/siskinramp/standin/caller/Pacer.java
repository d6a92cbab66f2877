package org.siskinramp.standin.caller;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Waits until the intended send times of requests, to the microsecond. It reads {@link
 * System#nanoTime}, since {@link org.siskinramp.time.Clock} has a resolution of milliseconds.
 */
final class Pacer {

    private static final double NANOSECONDS_PER_MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

    private final long start = System.nanoTime();

    static void runInThread(Runnable task) {
        Thread thread = new Thread(task, "callers-pacer");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Waits until a time after the start, and returns it on the clock of {@link System#nanoTime}.
     */
    long await(double afterMilliseconds) {
        long due = start + Math.round(afterMilliseconds * NANOSECONDS_PER_MILLISECOND);
        for (long left = due - System.nanoTime(); left > 0; left = due - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
        return due;
    }
}
