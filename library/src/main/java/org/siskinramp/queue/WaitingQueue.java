package org.siskinramp.queue;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Queue of the requests that wait for a slot of one service, ordered by higher priority, then
 * earlier deadline, then earlier insertion. It has no size limit. Not thread-safe.
 *
 * @param <T> the type of the waiting elements
 */
public final class WaitingQueue<T> {

    private final TreeSet<Entry<T>> entries = new TreeSet<>();
    private long nextSequence;

    /**
     * Adds an element.
     *
     * @param element the element
     * @param priority its priority; higher goes first
     * @param deadlineMilliseconds the deadline by which elements of equal priority are ordered, in
     *     monotonic milliseconds
     */
    public void add(T element, int priority, long deadlineMilliseconds) {
        entries.add(new Entry<>(element, priority, deadlineMilliseconds, nextSequence++));
    }

    /**
     * Removes and returns the first element that matches.
     *
     * @param condition the condition
     * @return the element, or empty if none matches
     */
    public Optional<T> removeFirst(Predicate<T> condition) {
        for (Iterator<Entry<T>> iterator = entries.iterator(); iterator.hasNext(); ) {
            Entry<T> entry = iterator.next();
            if (condition.test(entry.element)) {
                iterator.remove();
                return Optional.of(entry.element);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the first element that matches, without removing it.
     *
     * @param condition the condition
     * @return the element, or empty if none matches
     */
    public Optional<T> findFirst(Predicate<T> condition) {
        return entries.stream().map(Entry::element).filter(condition).findFirst();
    }

    /**
     * Removes and returns the elements whose deadline is at or before a time.
     *
     * @param now monotonic milliseconds
     * @return the elements, in queue order
     */
    public List<T> removeExpired(long now) {
        return removeAll(entry -> entry.deadlineMilliseconds <= now);
    }

    /**
     * Removes and returns all elements.
     *
     * @return the elements, in queue order
     */
    public List<T> removeAll() {
        return removeAll(entry -> true);
    }

    private List<T> removeAll(Predicate<Entry<T>> condition) {
        List<T> removed = new ArrayList<>();
        for (Iterator<Entry<T>> iterator = entries.iterator(); iterator.hasNext(); ) {
            Entry<T> entry = iterator.next();
            if (condition.test(entry)) {
                iterator.remove();
                removed.add(entry.element);
            }
        }
        return removed;
    }

    /**
     * Counts the elements that would be ahead of a new one.
     *
     * @param priority the priority of the new element
     * @param deadlineMilliseconds the deadline of the new element, in monotonic milliseconds
     * @return the number of elements ahead of it
     */
    public int countAhead(int priority, long deadlineMilliseconds) {
        return entries.headSet(new Entry<>(null, priority, deadlineMilliseconds, nextSequence))
                .size();
    }

    /**
     * Returns the number of waiting elements.
     *
     * @return the size
     */
    public int size() {
        return entries.size();
    }

    private record Entry<T>(T element, int priority, long deadlineMilliseconds, long sequence)
            implements Comparable<Entry<T>> {

        @Override
        public int compareTo(Entry<T> other) {
            if (priority != other.priority) {
                return Integer.compare(other.priority, priority);
            }
            if (deadlineMilliseconds != other.deadlineMilliseconds) {
                return Long.compare(deadlineMilliseconds, other.deadlineMilliseconds);
            }
            return Long.compare(sequence, other.sequence);
        }
    }
}
