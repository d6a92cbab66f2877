package org.siskinramp.quarantine;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiPredicate;

/**
 * Holds what is known of one request under which servers ended: crashes by their key, and how many
 * others told of. It is guarded by the lock of the quarantine.
 */
final class Suspect {

    /** Servers that end under a request are mended by a new version, within hours at best. */
    static final long FIRST_TERM_MILLISECONDS = 3_600_000;

    private static final int DOUBLINGS_AT_MOST = 5;

    /** More crashes of one request do not change what follows. */
    private static final int CRASHES_KEPT = Quarantine.CRASHES_TO_REFUSE + DOUBLINGS_AT_MOST;

    private final Map<String, Line> lines = new LinkedHashMap<>();
    private String route = "";
    private int told;
    private long changedAt;

    /** Describes a crash; whether it was read of the table of crashes, and when it came. */
    record Line(Crash crash, boolean read, long addedAt) {}

    Map<String, Line> lines() {
        return Collections.unmodifiableMap(lines);
    }

    String route() {
        return route;
    }

    long changedAt() {
        return changedAt;
    }

    void changeAt(long now) {
        changedAt = now;
    }

    /** Takes a crash in, as far as it changes what follows. */
    void add(String key, Crash crash, boolean read, long now) {
        Line known = lines.get(key);
        if (known != null) {
            lines.put(key, new Line(crash, known.read || read, known.addedAt));
        } else if (lines.size() < CRASHES_KEPT) {
            lines.put(key, new Line(crash, read, now));
            route = crash.route();
        }
    }

    /** Takes in how many crashes others told of. */
    void tell(int crashes, String ofRoute) {
        told = Math.min(crashes, CRASHES_KEPT);
        route = ofRoute;
    }

    void forgetTold() {
        told = 0;
    }

    int crashes() {
        return Math.max(lines.size(), told);
    }

    boolean wasRefused() {
        return crashes() >= Quarantine.CRASHES_TO_REFUSE;
    }

    long refusedMilliseconds(long now) {
        if (!wasRefused()) {
            return 0;
        }
        int doublings = Math.min(DOUBLINGS_AT_MOST, crashes() - Quarantine.CRASHES_TO_REFUSE);
        return Math.max(0, changedAt + (FIRST_TERM_MILLISECONDS << doublings) - now);
    }

    /** Drops crashes; returns whether there were any to drop. */
    boolean dropLines(BiPredicate<String, Line> dropped) {
        return lines.entrySet().removeIf(line -> dropped.test(line.getKey(), line.getValue()));
    }

    String servers() {
        return String.join(
                ",", lines.values().stream().map(line -> line.crash().backendServer()).toList());
    }

    QuarantinedContent described(String content) {
        return new QuarantinedContent(content, route, crashes());
    }
}
