package org.siskinramp.ledger;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Holds the suspected crashes of requests: the backend servers on which the connection of a request
 * broke, and of which it is not known yet whether they crashed. Suspected crashes that are not
 * confirmed in time expire. This class is guarded by the lock of {@link SuspectRequests}.
 */
final class SuspectedCrashes {

    private static final long CONFIRMATION_TIMEOUT_MILLISECONDS = 2_000;

    private final int maximumRequests;
    private final Map<String, Map<String, Long>> expiryByServerByContent = new LinkedHashMap<>();

    SuspectedCrashes(int maximumRequests) {
        this.maximumRequests = maximumRequests;
    }

    void add(String contentHash, String backendServer, long now) {
        expiryByServerByContent
                .computeIfAbsent(contentHash, hash -> new LinkedHashMap<>())
                .put(backendServer, now + CONFIRMATION_TIMEOUT_MILLISECONDS);
        Iterator<String> oldest = expiryByServerByContent.keySet().iterator();
        while (expiryByServerByContent.size() > maximumRequests) {
            oldest.next();
            oldest.remove();
        }
    }

    /** Removes the suspected crash of one server, since it is confirmed. */
    void removeConfirmed(String contentHash, String backendServer) {
        Map<String, Long> expiryByServer = expiryByServerByContent.get(contentHash);
        if (expiryByServer != null) {
            expiryByServer.remove(backendServer);
        }
    }

    void clear(String contentHash) {
        expiryByServerByContent.remove(contentHash);
    }

    /** Returns the number of suspected crashes of a request that have not expired. */
    int count(String contentHash, long now) {
        Map<String, Long> expiryByServer = expiryByServerByContent.get(contentHash);
        if (expiryByServer == null) {
            return 0;
        }
        expiryByServer.values().removeIf(expiry -> now >= expiry);
        if (expiryByServer.isEmpty()) {
            expiryByServerByContent.remove(contentHash);
        }
        return expiryByServer.size();
    }

    boolean isEmpty() {
        return expiryByServerByContent.isEmpty();
    }
}
