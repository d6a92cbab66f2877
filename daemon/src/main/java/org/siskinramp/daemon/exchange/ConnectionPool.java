package org.siskinramp.daemon.exchange;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.siskinramp.time.Clock;

/**
 * Holds the idle connections by server. The most recently used connection is taken first.
 *
 * <p>If a connection stops responding, all connections to the server that were opened before the
 * unanswered request are suspect. Idle ones are closed at once, the others when their exchange
 * ends.
 */
final class ConnectionPool {

    private final Clock clock;
    private final Map<ServerAddress, IdleConnections> idleByAddress = new HashMap<>();

    ConnectionPool(Clock clock) {
        this.clock = clock;
    }

    /** Removes and returns a connection that has been idle for no longer than a limit. */
    synchronized Optional<PooledConnection> take(ServerAddress address, long limitMilliseconds) {
        Deque<PooledConnection> connections = idleConnections(address).connections;
        connections.removeIf(connection -> !connection.isOpen());
        PooledConnection newest = connections.peekFirst();
        if (newest == null || newest.idleMilliseconds(clock) > limitMilliseconds) {
            return Optional.empty();
        }
        return Optional.of(connections.removeFirst());
    }

    /** Returns a connection to the pool after a successful exchange, or closes it if suspect. */
    void release(ServerAddress address, PooledConnection connection) {
        if (!addIfUsable(address, connection)) {
            connection.close();
        }
    }

    private synchronized boolean addIfUsable(ServerAddress address, PooledConnection connection) {
        IdleConnections idle = idleConnections(address);
        if (!connection.isOpen()
                || connection.openedMilliseconds() <= idle.suspectUpToMilliseconds) {
            return false;
        }
        connection.markIdle(clock);
        idle.connections.addFirst(connection);
        return true;
    }

    /** Closes the idle connections that were opened up to a time; returns their number. */
    int closeOpenedUpTo(ServerAddress address, long milliseconds) {
        List<PooledConnection> suspects = removeOpenedUpTo(address, milliseconds);
        suspects.forEach(PooledConnection::close);
        return suspects.size();
    }

    private synchronized List<PooledConnection> removeOpenedUpTo(
            ServerAddress address, long milliseconds) {
        IdleConnections idle = idleConnections(address);
        idle.suspectUpToMilliseconds = Math.max(idle.suspectUpToMilliseconds, milliseconds);
        List<PooledConnection> suspects = new ArrayList<>(idle.connections);
        suspects.removeIf(connection -> connection.openedMilliseconds() > milliseconds);
        idle.connections.removeAll(suspects);
        return suspects;
    }

    private IdleConnections idleConnections(ServerAddress address) {
        return idleByAddress.computeIfAbsent(address, key -> new IdleConnections());
    }

    private static final class IdleConnections {

        private final Deque<PooledConnection> connections = new ArrayDeque<>();
        private long suspectUpToMilliseconds = Long.MIN_VALUE;
    }
}
