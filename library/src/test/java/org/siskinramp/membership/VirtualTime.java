package org.siskinramp.membership;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in the order of a virtual time. */
final class VirtualTime {

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparing(Task::number));
    private long now;
    private long number;

    void after(long delayMilliseconds, Runnable action) {
        tasks.add(new Task(now + Math.max(0, delayMilliseconds), number++, action));
    }

    void runUntil(long end) {
        while (!tasks.isEmpty() && tasks.peek().at <= end) {
            Task task = tasks.poll();
            now = task.at;
            task.action.run();
        }
        now = end;
    }

    long now() {
        return now;
    }

    private record Task(long at, long number, Runnable action) {}
}
