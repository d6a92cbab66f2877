package org.siskinramp.daemon.exchange;

import java.util.Optional;
import org.eclipse.jetty.client.Connection;
import org.siskinramp.time.Clock;

/** A connection with the times and the identity that decide whether it may be reused. */
final class PooledConnection {

    private final Connection connection;
    private final long openedMilliseconds;
    private volatile long idleSinceMilliseconds;
    private volatile boolean reused;
    private volatile boolean answered;
    private volatile Optional<String> identity = Optional.empty();

    PooledConnection(Connection connection, Clock clock) {
        this.connection = connection;
        openedMilliseconds = clock.monotonicMilliseconds();
        idleSinceMilliseconds = openedMilliseconds;
    }

    Connection connection() {
        return connection;
    }

    long openedMilliseconds() {
        return openedMilliseconds;
    }

    long idleMilliseconds(Clock clock) {
        return clock.monotonicMilliseconds() - idleSinceMilliseconds;
    }

    boolean isReused() {
        return reused;
    }

    /** Tells whether an answer was received on the connection. */
    boolean hasAnswered() {
        return answered;
    }

    void markAnswered() {
        answered = true;
    }

    boolean isOpen() {
        return !connection.isClosed();
    }

    /** Returns the boot identity in the last answer; empty before the first answer. */
    Optional<String> identity() {
        return identity;
    }

    void setIdentity(String value) {
        identity = Optional.of(value);
    }

    void markIdle(Clock clock) {
        idleSinceMilliseconds = clock.monotonicMilliseconds();
        reused = true;
    }

    void close() {
        connection.close();
    }
}
