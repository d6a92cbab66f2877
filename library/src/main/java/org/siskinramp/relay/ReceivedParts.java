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

/** Puts together what each other host tells in parts. Guarded by its owner's lock. */
final class ReceivedParts {

    private final Map<String, NewsParts<ServerEntry>> servers = new HashMap<>();
    private final Map<String, NewsParts<RouteLine>> routes = new HashMap<>();

    /** Adds a message; returns all entries once the list is complete. */
    Optional<List<ServerEntry>> add(String host, FeedNews news) {
        return servers.computeIfAbsent(host, name -> new NewsParts<>())
                .add(news.version(), news.part(), news.more(), news.servers());
    }

    /** Adds a message; returns all routes once the list is complete. */
    Optional<List<RouteLine>> add(String host, OperatorNews news) {
        return routes.computeIfAbsent(host, name -> new NewsParts<>())
                .add(news.version(), news.part(), news.more(), news.routes());
    }

    /** Drops the parts of hosts that are not listened to any more. */
    void keepOnly(Predicate<String> hosts) {
        servers.keySet().removeIf(hosts.negate());
        routes.keySet().removeIf(hosts.negate());
    }
}
