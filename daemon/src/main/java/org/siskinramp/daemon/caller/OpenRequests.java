package org.siskinramp.daemon.caller;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Counts the requests in progress and lets a stop wait for their end. */
final class OpenRequests {

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

    /** Counts a request in, whatever the limit. */
    void begin() {
        var unused = begin(Integer.MAX_VALUE);
    }

    /** Counts a request in, unless the limit is reached. */
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

    /** Waits until no request is in progress; returns how many are left at the limit. */
    int awaitNone(long limitMilliseconds) {
        long left = TimeUnit.MILLISECONDS.toNanos(limitMilliseconds);
        lock.lock();
        try {
            while (count > 0 && left > 0) {
                left = ended.awaitNanos(left);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            lock.unlock();
        }
        return count();
    }
}
