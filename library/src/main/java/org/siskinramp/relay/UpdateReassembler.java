package org.siskinramp.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.siskinramp.fleet.ServerEntry;
import org.siskinramp.peer.FeedNews;
import org.siskinramp.peer.OperatorNews;
import org.siskinramp.peer.RouteLine;

/**
 * Reassembles the updates that other hosts send in parts. Not thread-safe; guarded by the lock of
 * its owner.
 */
final class UpdateReassembler {

    private final Map<String, MultipartList<ServerEntry>> servers = new HashMap<>();
    private final Map<String, MultipartList<RouteLine>> routes = new HashMap<>();

    /** Adds a message; returns all entries when the update is complete. */
    Optional<List<ServerEntry>> addPart(String host, FeedNews update) {
        return servers.computeIfAbsent(host, name -> new MultipartList<>())
                .addPart(
                        update.serversVersion(),
                        update.part(),
                        update.hasMoreParts(),
                        update.servers());
    }

    /** Adds a message; returns all routes when the update is complete. */
    Optional<List<RouteLine>> addPart(String host, OperatorNews update) {
        return routes.computeIfAbsent(host, name -> new MultipartList<>())
                .addPart(
                        update.operatorVersion(),
                        update.part(),
                        update.hasMoreParts(),
                        update.routes());
    }

    /** Drops the parts of hosts that do not match the predicate. */
    void retainHosts(Predicate<String> hosts) {
        servers.keySet().removeIf(hosts.negate());
        routes.keySet().removeIf(hosts.negate());
    }
}
