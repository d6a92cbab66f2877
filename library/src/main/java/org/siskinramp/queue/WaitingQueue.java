package org.siskinramp.queue;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Orders the requests that wait for a slot of one service: higher weight first, then earlier
 * deadline, then earlier arrival. It is bounded and not safe for use by several threads.
 *
 * @param <T> the type of what waits
 */
public final class WaitingQueue<T> {

    private final TreeSet<Entry<T>> entries = new TreeSet<>();
    private long nextSequence;

    /**
     * Adds an element.
     *
     * @param element the element
     * @param weight its weight, higher goes first
     * @param deadlineMilliseconds when it must leave the queue, in monotonic milliseconds
     */
    public void add(T element, int weight, long deadlineMilliseconds) {
        entries.add(new Entry<>(element, weight, deadlineMilliseconds, nextSequence++));
    }

    /**
     * Removes and returns the first element that is accepted.
     *
     * @param accepted what to look for
     * @return the element, or empty if none is accepted
     */
    public Optional<T> takeFirst(Predicate<T> accepted) {
        for (Iterator<Entry<T>> iterator = entries.iterator(); iterator.hasNext(); ) {
            Entry<T> entry = iterator.next();
            if (accepted.test(entry.element)) {
                iterator.remove();
                return Optional.of(entry.element);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds the first element that is accepted, and leaves it in the queue.
     *
     * @param accepted what to look for
     * @return the element, or empty if none is accepted
     */
    public Optional<T> findFirst(Predicate<T> accepted) {
        return entries.stream().map(Entry::element).filter(accepted).findFirst();
    }

    /**
     * Removes and returns the elements whose deadline is at or before a time.
     *
     * @param now monotonic milliseconds
     * @return the elements, in queue order
     */
    public List<T> takeExpired(long now) {
        return takeAll(entry -> entry.deadlineMilliseconds <= now);
    }

    /**
     * Removes and returns every element.
     *
     * @return the elements, in queue order
     */
    public List<T> takeAll() {
        return takeAll(entry -> true);
    }

    private List<T> takeAll(Predicate<Entry<T>> accepted) {
        List<T> taken = new ArrayList<>();
        for (Iterator<Entry<T>> iterator = entries.iterator(); iterator.hasNext(); ) {
            Entry<T> entry = iterator.next();
            if (accepted.test(entry)) {
                iterator.remove();
                taken.add(entry.element);
            }
        }
        return taken;
    }

    /**
     * Counts the elements that would leave before a new one.
     *
     * @param weight the weight of the new element
     * @param deadlineMilliseconds the deadline of the new element
     * @return how many are ahead of it
     */
    public int countAhead(int weight, long deadlineMilliseconds) {
        return entries.headSet(new Entry<>(null, weight, deadlineMilliseconds, nextSequence))
                .size();
    }

    /**
     * Returns how many elements wait.
     *
     * @return the size
     */
    public int size() {
        return entries.size();
    }

    private record Entry<T>(T element, int weight, long deadlineMilliseconds, long sequence)
            implements Comparable<Entry<T>> {

        @Override
        public int compareTo(Entry<T> other) {
            if (weight != other.weight) {
                return Integer.compare(other.weight, weight);
            }
            if (deadlineMilliseconds != other.deadlineMilliseconds) {
                return Long.compare(deadlineMilliseconds, other.deadlineMilliseconds);
            }
            return Long.compare(sequence, other.sequence);
        }
    }
}
