package org.siskinramp.gateway;

import java.util.ArrayList;
import java.util.List;

/** The suspected crashes of one server. Guarded by the lock of the gateway. */
final class SuspectedCrashes {

    /**
     * Connections must be refused for this long to confirm a crash. A full server that resets
     * excess connections accepts others within this time.
     */
    private static final long REFUSED_CONFIRMATION_MILLISECONDS = 100;

    /**
     * Probes must fail for this long to confirm the crash of a server that closes connections. A
     * full server that closes each new connection has free capacity again within this time.
     */
    private static final long CUT_CONFIRMATION_MILLISECONDS = 1_000;

    /** A connection that breaks this soon after another one of its server starts no new probes. */
    private static final long PROBE_REUSE_MILLISECONDS = 200;

    private static final int MAXIMUM_ENTRIES = 50;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final List<SuspectedCrash> entries = new ArrayList<>();
    private long probingSince = NEVER;
    private long refusedSince = NEVER;
    private long failingSince = NEVER;

    List<SuspectedCrash> entries() {
        return entries;
    }

    void add(SuspectedCrash suspectedCrash) {
        if (entries.size() < MAXIMUM_ENTRIES) {
            entries.add(suspectedCrash);
        }
    }

    /** Tells whether new probes must be scheduled; if so, their time starts now. */
    boolean startProbesIfNeeded(long now) {
        boolean needed = now - probingSince >= PROBE_REUSE_MILLISECONDS;
        if (needed) {
            probingSince = now;
        }
        return needed;
    }

    long probingMilliseconds(long now) {
        return now - probingSince;
    }

    /** Records a refused connection; returns true if that confirms the crashes. */
    boolean confirmByRefusal(long now) {
        if (refusedSince == NEVER) {
            refusedSince = now;
        }
        return now - refusedSince >= REFUSED_CONFIRMATION_MILLISECONDS;
    }

    /** Records a probe that failed; returns true if that confirms the crashes. */
    boolean confirmByFailedProbe(long now) {
        if (entries.stream().noneMatch(SuspectedCrash::isCut)) {
            return false;
        }
        if (failingSince == NEVER) {
            failingSince = now;
        }
        return now - failingSince >= CUT_CONFIRMATION_MILLISECONDS;
    }

    /** Records that a probe was answered; returns the suspected crashes that did not happen. */
    List<SuspectedCrash> endBefore(long probeSentAt) {
        List<SuspectedCrash> ended =
                entries.stream().filter(entry -> entry.brokenAt() <= probeSentAt).toList();
        entries.removeAll(ended);
        refusedSince = NEVER;
        failingSince = NEVER;
        return ended;
    }

    /**
     * Counts the suspected crashes under a content, without those of servers that are likely to
     * have been full.
     */
    int count(String content) {
        int count = 0;
        for (SuspectedCrash entry : entries) {
            boolean counts = entry.symptom() != SuspectedCrash.Symptom.CUT_WHEN_FULL;
            count += counts && entry.crash().content().equals(content) ? 1 : 0;
        }
        return count;
    }
}
