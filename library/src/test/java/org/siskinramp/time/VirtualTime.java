package org.siskinramp.time;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/** A virtual clock that runs scheduled tasks in time order on the calling thread. */
public final class VirtualTime implements Clock, Scheduler {

    private static final long CALENDAR_ORIGIN_MILLISECONDS = 1_800_000_000_000L;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::dueMilliseconds)
                            .thenComparingLong(Event::sequence));
    private long nowMilliseconds;
    private long sequence;

    @Override
    public long monotonicMilliseconds() {
        return nowMilliseconds;
    }

    @Override
    public long calendarMilliseconds() {
        return CALENDAR_ORIGIN_MILLISECONDS + nowMilliseconds;
    }

    @Override
    public void schedule(long delayMilliseconds, Runnable task) {
        events.add(new Event(nowMilliseconds + Math.max(0, delayMilliseconds), sequence++, task));
    }

    /**
     * Advances the clock and runs the tasks that fall due.
     *
     * @param milliseconds by how much the clock advances
     */
    public void advance(long milliseconds) {
        advanceUntil(() -> false, milliseconds);
    }

    /**
     * Advances the clock and runs the tasks that fall due, until a condition holds.
     *
     * @param condition the condition
     * @param limitMilliseconds by how much the clock advances at most
     * @return whether the condition holds
     */
    public boolean advanceUntil(BooleanSupplier condition, long limitMilliseconds) {
        long end = nowMilliseconds + limitMilliseconds;
        while (!condition.getAsBoolean()) {
            if (events.isEmpty() || events.peek().dueMilliseconds() > end) {
                nowMilliseconds = end;
                return condition.getAsBoolean();
            }
            Event event = events.remove();
            nowMilliseconds = event.dueMilliseconds();
            event.task().run();
        }
        return true;
    }

    private record Event(long dueMilliseconds, long sequence, Runnable task) {}
}
