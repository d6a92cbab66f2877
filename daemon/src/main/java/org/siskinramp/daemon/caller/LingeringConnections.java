package org.siskinramp.daemon.caller;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Holds the connections whose output has ended and whose callers have not closed them, so that a
 * shutdown can wait for them.
 */
final class LingeringConnections {

    private final Set<LingeringClose> connections = new HashSet<>();
    private final ActivityCounter counter = new ActivityCounter();
    private boolean stopped;

    int count() {
        return counter.count();
    }

    /** Holds a connection; returns false if the server has stopped. */
    synchronized boolean add(LingeringClose connection) {
        if (!stopped && connections.add(connection)) {
            counter.begin();
        }
        return !stopped;
    }

    synchronized void remove(LingeringClose connection) {
        if (connections.remove(connection)) {
            counter.end();
        }
    }

    /**
     * Waits until all callers have closed their connections; returns how many have not after the
     * timeout.
     */
    int awaitNone(long timeoutMilliseconds) {
        return counter.awaitNone(timeoutMilliseconds);
    }

    /** Closes all connections; later ones are closed without waiting for their callers. */
    void stop() {
        List<LingeringClose> remaining;
        synchronized (this) {
            stopped = true;
            remaining = List.copyOf(connections);
        }
        remaining.forEach(LingeringClose::end);
    }
}
