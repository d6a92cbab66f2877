package org.siskinramp.standin;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/** Passes time only when a test says so. */
public final class ManualTime implements Clock, Scheduler {

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::dueMilliseconds)
                            .thenComparingLong(Task::number));
    private long now;
    private long numbers;

    @Override
    public synchronized long monotonicMilliseconds() {
        return now;
    }

    @Override
    public synchronized long calendarMilliseconds() {
        return now;
    }

    @Override
    public synchronized void schedule(long delayMilliseconds, Runnable task) {
        numbers++;
        tasks.add(new Task(now + delayMilliseconds, numbers, task));
    }

    /** Runs all tasks of the next milliseconds, each at its time. */
    public void advance(long milliseconds) {
        long end = monotonicMilliseconds() + milliseconds;
        for (Task task = takeDue(end); task != null; task = takeDue(end)) {
            task.work.run();
        }
        synchronized (this) {
            now = end;
        }
    }

    private synchronized Task takeDue(long end) {
        if (tasks.isEmpty() || tasks.peek().dueMilliseconds > end) {
            return null;
        }
        Task task = tasks.poll();
        now = Math.max(now, task.dueMilliseconds);
        return task;
    }

    private record Task(long dueMilliseconds, long number, Runnable work) {}
}
