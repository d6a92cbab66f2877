package org.siskinramp.daemon.caller;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Holds the connections whose output has ended and whose callers have not closed them, so that a
 * shutdown can wait for them.
 */
final class LingeringConnections {

    private final Set<LingeringClose> connections = new HashSet<>();
    private boolean stopped;

    synchronized int count() {
        return connections.size();
    }

    /** Holds a connection; returns false if the server has stopped. */
    synchronized boolean add(LingeringClose connection) {
        if (!stopped) {
            connections.add(connection);
        }
        return !stopped;
    }

    synchronized void remove(LingeringClose connection) {
        connections.remove(connection);
        notifyAll();
    }

    /** Waits until all callers have closed their connections, or until the timeout. */
    synchronized void awaitNone(long timeoutMilliseconds) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMilliseconds);
        try {
            while (!connections.isEmpty() && System.nanoTime() < end) {
                TimeUnit.NANOSECONDS.timedWait(this, end - System.nanoTime());
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
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
