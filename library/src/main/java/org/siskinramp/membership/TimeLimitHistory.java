package org.siskinramp.membership;

import java.util.HashMap;
import java.util.Map;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.configuration.Service;

/**
 * Keeps the recent time limits of requests on each backend server, so that requests that started
 * under an earlier configuration are taken into account.
 */
final class TimeLimitHistory {

    private static final long RETENTION_MILLISECONDS = 600_000;

    private final Map<String, Range> ranges = new HashMap<>();

    void apply(Configuration configuration, long now) {
        ranges.values().removeIf(range -> now - range.appliedAt > RETENTION_MILLISECONDS);
        for (BackendServer server : configuration.backendServers()) {
            long limit =
                    configuration
                            .service(server.service())
                            .map(Service::timeLimitMilliseconds)
                            .orElse(0L);
            ranges.computeIfAbsent(server.name(), any -> new Range(limit, now)).add(limit, now);
        }
    }

    /** Returns the longest time limit that a request in progress may have, in milliseconds. */
    long longest(String backendServer) {
        Range range = ranges.get(backendServer);
        return range == null ? 0 : range.longest;
    }

    /**
     * Returns the shortest time limit that another host may apply to its claims, in milliseconds.
     */
    long shortest(String backendServer) {
        Range range = ranges.get(backendServer);
        return range == null ? 0 : range.shortest;
    }

    boolean isKnown(String backendServer) {
        return ranges.containsKey(backendServer);
    }

    private static final class Range {

        private long longest;
        private long shortest;
        private long current;
        private long changedAt;
        private long appliedAt;

        private Range(long limit, long now) {
            longest = limit;
            shortest = limit;
            current = limit;
            changedAt = now;
            appliedAt = now;
        }

        private void add(long limit, long now) {
            if (limit == current && now - changedAt > RETENTION_MILLISECONDS) {
                longest = limit;
                shortest = limit;
            }
            if (limit != current) {
                changedAt = now;
            }
            current = limit;
            longest = Math.max(longest, limit);
            shortest = Math.min(shortest, limit);
            appliedAt = now;
        }
    }
}
