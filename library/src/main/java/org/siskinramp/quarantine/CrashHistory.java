package org.siskinramp.quarantine;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiPredicate;

/**
 * Holds the crashes of one request: those that are known one by one, and the crash count that
 * another host reported. Guarded by the lock of the quarantine.
 */
final class CrashHistory {

    /**
     * The first refusal period. It is one hour because the fault is usually fixed by deploying a
     * new version of the server, which takes hours at best.
     */
    static final long INITIAL_REFUSAL_MILLISECONDS = 3_600_000;

    private static final int MAXIMUM_DOUBLINGS = 5;

    /** The number of crashes that are kept. Further ones do not lengthen the refusal period. */
    private static final int MAXIMUM_CRASHES = Quarantine.CRASHES_TO_REFUSE + MAXIMUM_DOUBLINGS;

    private final Map<String, KnownCrash> crashesByKey = new LinkedHashMap<>();
    private String route = "";
    private int peerCrashCount;
    private long changedAt;

    /** Holds a crash, whether it was read from the crashes table, and when it was added. */
    record KnownCrash(Crash crash, boolean readFromTable, long addedAt) {}

    Map<String, KnownCrash> crashesByKey() {
        return Collections.unmodifiableMap(crashesByKey);
    }

    String route() {
        return route;
    }

    long changedAt() {
        return changedAt;
    }

    void setChangedAt(long now) {
        changedAt = now;
    }

    /**
     * Adds a crash, unless the limit of kept crashes is reached. Of a known crash, only whether it
     * was read from the table is updated.
     */
    void add(String key, Crash crash, boolean readFromTable, long now) {
        KnownCrash known = crashesByKey.get(key);
        if (known != null) {
            crashesByKey.put(
                    key,
                    new KnownCrash(crash, known.readFromTable || readFromTable, known.addedAt));
        } else if (crashesByKey.size() < MAXIMUM_CRASHES) {
            crashesByKey.put(key, new KnownCrash(crash, readFromTable, now));
            route = crash.route();
        }
    }

    /** Treats all crashes as added now and not read from the table. */
    void markUnconfirmed(long now) {
        crashesByKey.replaceAll((key, known) -> new KnownCrash(known.crash(), false, now));
    }

    /** Records how many crashes of the request another host reported. */
    void setPeerReport(int crashes, String routeName) {
        peerCrashCount = Math.min(crashes, MAXIMUM_CRASHES);
        route = routeName;
    }

    void clearPeerReport() {
        peerCrashCount = 0;
    }

    int crashCount() {
        return Math.max(crashesByKey.size(), peerCrashCount);
    }

    boolean hasReachedLimit() {
        return crashCount() >= Quarantine.CRASHES_TO_REFUSE;
    }

    long remainingRefusalMilliseconds(long now) {
        if (!hasReachedLimit()) {
            return 0;
        }
        int doublings = Math.min(MAXIMUM_DOUBLINGS, crashCount() - Quarantine.CRASHES_TO_REFUSE);
        return Math.max(0, changedAt + (INITIAL_REFUSAL_MILLISECONDS << doublings) - now);
    }

    /** Removes the matching crashes; returns whether there were any. */
    boolean removeCrashesIf(BiPredicate<String, KnownCrash> condition) {
        return crashesByKey
                .entrySet()
                .removeIf(
                        keyAndCrash ->
                                condition.test(keyAndCrash.getKey(), keyAndCrash.getValue()));
    }

    String serverNames() {
        return String.join(
                ",",
                crashesByKey.values().stream()
                        .map(known -> known.crash().backendServer())
                        .toList());
    }

    QuarantinedContent toQuarantinedContent(String content) {
        return new QuarantinedContent(content, route, crashCount());
    }
}
