package org.siskinramp.standin.capacity;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/**
 * A virtual clock that runs scheduled tasks in time order on the calling thread, without waiting in
 * real time.
 */
final class VirtualTime implements Clock, Scheduler {

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::dueMilliseconds).thenComparing(Task::number));
    private long nowMilliseconds;
    private long nextTaskNumber;

    @Override
    public long monotonicMilliseconds() {
        return nowMilliseconds;
    }

    @Override
    public long calendarMilliseconds() {
        return nowMilliseconds;
    }

    @Override
    public void schedule(long delayMilliseconds, Runnable action) {
        tasks.add(new Task(nowMilliseconds + delayMilliseconds, nextTaskNumber++, action));
    }

    /** Advances the clock and runs the tasks that become due. */
    void advance(long milliseconds) {
        long endMilliseconds = nowMilliseconds + milliseconds;
        while (!tasks.isEmpty() && tasks.peek().dueMilliseconds <= endMilliseconds) {
            Task task = tasks.poll();
            nowMilliseconds = task.dueMilliseconds;
            task.action.run();
        }
        nowMilliseconds = endMilliseconds;
    }

    private record Task(long dueMilliseconds, long number, Runnable action) {}
}
