package org.siskinramp.daemon.caller;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Counts activities, such as requests in progress, so that a shutdown can wait for their end. */
final class ActivityCounter {

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition ended = lock.newCondition();
    private int count;

    int count() {
        lock.lock();
        try {
            return count;
        } finally {
            lock.unlock();
        }
    }

    /** Counts an activity regardless of the limit. */
    void begin() {
        var unused = begin(Integer.MAX_VALUE);
    }

    /** Counts an activity; returns false if the limit is reached. */
    boolean begin(int limit) {
        lock.lock();
        try {
            if (count >= limit) {
                return false;
            }
            count++;
            return true;
        } finally {
            lock.unlock();
        }
    }

    void end() {
        lock.lock();
        try {
            count--;
            ended.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Waits until all activities have ended; returns how many remain after the timeout. */
    int awaitNone(long timeoutMilliseconds) {
        long remainingNanoseconds = TimeUnit.MILLISECONDS.toNanos(timeoutMilliseconds);
        lock.lock();
        try {
            while (count > 0 && remainingNanoseconds > 0) {
                remainingNanoseconds = ended.awaitNanos(remainingNanoseconds);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            lock.unlock();
        }
        return count();
    }
}
