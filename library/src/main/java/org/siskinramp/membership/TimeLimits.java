package org.siskinramp.membership;

import java.util.HashMap;
import java.util.Map;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.configuration.Service;

/**
 * Remembers the time limits of requests on each backend server across changes of configuration, so
 * that requests which started under an earlier one are counted.
 */
final class TimeLimits {

    private static final long MEMORY_MILLISECONDS = 600_000;

    private final Map<String, Range> ranges = new HashMap<>();

    void apply(Configuration configuration, long now) {
        ranges.values().removeIf(range -> now - range.seenAt > MEMORY_MILLISECONDS);
        for (BackendServer server : configuration.backendServers()) {
            long limit =
                    configuration
                            .service(server.service())
                            .map(Service::timeLimitMilliseconds)
                            .orElse(0L);
            ranges.computeIfAbsent(server.name(), any -> new Range(limit, now)).add(limit, now);
        }
    }

    /** Returns the longest limit that a request in progress may have, in milliseconds. */
    long longest(String backendServer) {
        Range range = ranges.get(backendServer);
        return range == null ? 0 : range.longest;
    }

    /** Returns the shortest limit that another host may wait for, in milliseconds. */
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
        private long seenAt;

        private Range(long limit, long now) {
            longest = limit;
            shortest = limit;
            current = limit;
            changedAt = now;
            seenAt = now;
        }

        private void add(long limit, long now) {
            if (limit == current && now - changedAt > MEMORY_MILLISECONDS) {
                longest = limit;
                shortest = limit;
            }
            if (limit != current) {
                changedAt = now;
            }
            current = limit;
            longest = Math.max(longest, limit);
            shortest = Math.min(shortest, limit);
            seenAt = now;
        }
    }
}
