package org.siskinramp.request;

/** Tells whether the caller of a request still waits for the answer. */
@FunctionalInterface
public interface CallerConnection {

    /** A connection that stays open. */
    CallerConnection ALWAYS_OPEN = () -> true;

    /**
     * Looks whether the caller has closed the connection, including a close that has arrived but
     * that no event has reported yet. If so, the request is cancelled.
     *
     * @return false if the caller has closed the connection
     */
    boolean isOpen();
}
