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
 * Keeps idle connections by server. The connection that was used last is given out first.
 *
 * <p>Connections of a server that were opened before one that went silent are closed: those that
 * are idle at once, the others when their exchange ends.
 */
final class ConnectionPool {

    private final Clock clock;
    private final Map<ServerAddress, Idle> idleByAddress = new HashMap<>();

    ConnectionPool(Clock clock) {
        this.clock = clock;
    }

    /** Removes and returns an idle connection that has not been idle for longer than a limit. */
    synchronized Optional<PooledConnection> take(ServerAddress address, long limitMilliseconds) {
        Deque<PooledConnection> connections = idle(address).connections;
        connections.removeIf(connection -> !connection.isOpen());
        PooledConnection newest = connections.peekFirst();
        if (newest == null || newest.idleMilliseconds(clock) > limitMilliseconds) {
            return Optional.empty();
        }
        return Optional.of(connections.removeFirst());
    }

    /** Keeps a connection whose exchange ended well, or closes it if it is suspect. */
    void give(ServerAddress address, PooledConnection connection) {
        if (!keep(address, connection)) {
            connection.close();
        }
    }

    private synchronized boolean keep(ServerAddress address, PooledConnection connection) {
        Idle idle = idle(address);
        if (!connection.isOpen() || connection.openedMilliseconds() <= idle.suspectMilliseconds) {
            return false;
        }
        connection.becomeIdle(clock);
        idle.connections.addFirst(connection);
        return true;
    }

    /** Closes the connections of a server that were opened up to a time; returns how many. */
    int closeOpenedUpTo(ServerAddress address, long milliseconds) {
        List<PooledConnection> suspects = removeOpenedUpTo(address, milliseconds);
        suspects.forEach(PooledConnection::close);
        return suspects.size();
    }

    private synchronized List<PooledConnection> removeOpenedUpTo(
            ServerAddress address, long milliseconds) {
        Idle idle = idle(address);
        idle.suspectMilliseconds = Math.max(idle.suspectMilliseconds, milliseconds);
        List<PooledConnection> suspects = new ArrayList<>(idle.connections);
        suspects.removeIf(connection -> connection.openedMilliseconds() > milliseconds);
        idle.connections.removeAll(suspects);
        return suspects;
    }

    private Idle idle(ServerAddress address) {
        return idleByAddress.computeIfAbsent(address, key -> new Idle());
    }

    private static final class Idle {

        private final Deque<PooledConnection> connections = new ArrayDeque<>();
        private long suspectMilliseconds = Long.MIN_VALUE;
    }
}
