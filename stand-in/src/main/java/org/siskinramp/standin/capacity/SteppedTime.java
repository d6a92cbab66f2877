package org.siskinramp.standin.capacity;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/** Runs scheduled tasks in order on the calling thread, as fast as they can be run. */
final class SteppedTime implements Clock, Scheduler {

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparing(Task::number));
    private long now;
    private long number;

    @Override
    public long monotonicMilliseconds() {
        return now;
    }

    @Override
    public long calendarMilliseconds() {
        return now;
    }

    @Override
    public void schedule(long delayMilliseconds, Runnable action) {
        tasks.add(new Task(now + delayMilliseconds, number++, action));
    }

    /** Moves on and runs what falls due. */
    void advance(long milliseconds) {
        long end = now + milliseconds;
        while (!tasks.isEmpty() && tasks.peek().at <= end) {
            Task task = tasks.poll();
            now = task.at;
            task.action.run();
        }
        now = end;
    }

    private record Task(long at, long number, Runnable action) {}
}
