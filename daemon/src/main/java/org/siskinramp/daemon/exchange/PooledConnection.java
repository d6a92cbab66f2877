package org.siskinramp.daemon.exchange;

import java.util.Optional;
import org.eclipse.jetty.client.Connection;
import org.siskinramp.time.Clock;

/** Wraps a connection with the times that decide whether it may be used again. */
final class PooledConnection {

    private final Connection connection;
    private final long openedMilliseconds;
    private volatile long idleSinceMilliseconds;
    private volatile boolean reused;
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

    boolean isOpen() {
        return !connection.isClosed();
    }

    /** Returns the identity that the last answer showed; empty before the first answer. */
    Optional<String> identity() {
        return identity;
    }

    void showIdentity(String shown) {
        identity = Optional.of(shown);
    }

    void becomeIdle(Clock clock) {
        idleSinceMilliseconds = clock.monotonicMilliseconds();
        reused = true;
    }

    void close() {
        connection.close();
    }
}
