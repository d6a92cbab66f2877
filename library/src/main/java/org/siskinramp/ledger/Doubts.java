package org.siskinramp.ledger;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers for a short while on which backend servers the connection of a request broke, until it
 * is known whether the servers stopped. It is guarded by the lock of {@link SuspectRequests}.
 */
final class Doubts {

    private static final long DOUBT_MILLISECONDS = 2_000;

    private final int limit;
    private final Map<String, Map<String, Long>> doubts = new LinkedHashMap<>();

    Doubts(int limit) {
        this.limit = limit;
    }

    void add(String contentHash, String backendServer, long now) {
        doubts.computeIfAbsent(contentHash, hash -> new LinkedHashMap<>())
                .put(backendServer, now + DOUBT_MILLISECONDS);
        Iterator<String> oldest = doubts.keySet().iterator();
        while (doubts.size() > limit) {
            oldest.next();
            oldest.remove();
        }
    }

    /** Ends the doubt about one server, since it is known to have stopped. */
    void resolve(String contentHash, String backendServer) {
        Map<String, Long> servers = doubts.get(contentHash);
        if (servers != null) {
            servers.remove(backendServer);
        }
    }

    void clear(String contentHash) {
        doubts.remove(contentHash);
    }

    /** Counts the servers that may have stopped because of a request. */
    int count(String contentHash, long now) {
        Map<String, Long> servers = doubts.get(contentHash);
        if (servers == null) {
            return 0;
        }
        servers.values().removeIf(until -> now >= until);
        if (servers.isEmpty()) {
            doubts.remove(contentHash);
        }
        return servers.size();
    }

    boolean isEmpty() {
        return doubts.isEmpty();
    }
}
