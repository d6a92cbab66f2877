package org.siskinramp.standin;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/** A clock and a scheduler whose time passes only in {@link #advance}. */
public final class ManualTime implements Clock, Scheduler {

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::dueMilliseconds)
                            .thenComparingLong(Task::number));
    private long now;
    private long lastNumber;

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
        lastNumber++;
        tasks.add(new Task(now + delayMilliseconds, lastNumber, task));
    }

    /** Advances the time and runs the tasks that become due, in order of their due times. */
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
