package org.siskinramp.journal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.siskinramp.platform.ListedHost;

/**
 * Determines from object names until when the journals of all entry hosts are complete, and the
 * gaps in them.
 */
final class JournalCoverage {

    private final List<IncarnationMarker> markers;
    private final Map<Incarnation, Long> coveredUntil = new HashMap<>();
    private final List<JournalGap> gaps = new ArrayList<>();
    private final long from;
    private final long now;
    private final long lostAfterMilliseconds;
    private long completeUntil;

    private JournalCoverage(
            List<IncarnationMarker> markers,
            List<BatchName> batches,
            long from,
            long now,
            long lostAfter) {
        this.markers = markers;
        this.from = from;
        this.now = now;
        this.lostAfterMilliseconds = lostAfter;
        this.completeUntil = now;
        for (BatchName batch : batches) {
            coveredUntil.merge(
                    new Incarnation(batch.host(), batch.incarnation()),
                    batch.coveredUntilMilliseconds(),
                    Math::max);
        }
    }

    /**
     * Determines the coverage.
     *
     * @param markers the begin and end markers of incarnations
     * @param batches the names of the batches in the searched time
     * @param listed the entry hosts that the platform lists
     * @param from the start of the searched time, in calendar milliseconds
     * @param now the end of the searched time, in calendar milliseconds
     * @param lostAfter after how many milliseconds without a batch a host counts as lost
     * @return the coverage
     */
    static JournalCoverage of(
            List<IncarnationMarker> markers,
            List<BatchName> batches,
            List<ListedHost> listed,
            long from,
            long now,
            long lostAfter) {
        JournalCoverage coverage = new JournalCoverage(markers, batches, from, now, lostAfter);
        coverage.addGapsOfIncarnations();
        coverage.addGapsOfHostsWithoutJournal(listed);
        return coverage;
    }

    private void addGapsOfIncarnations() {
        Set<Incarnation> ended = new HashSet<>();
        markers.stream()
                .filter(marker -> !marker.began())
                .forEach(marker -> ended.add(incarnationOf(marker)));
        for (IncarnationMarker marker : markers) {
            if (marker.began() && !ended.contains(incarnationOf(marker))) {
                addGapUnlessRunning(marker);
            }
        }
    }

    private static Incarnation incarnationOf(IncarnationMarker marker) {
        return new Incarnation(marker.host(), marker.incarnation());
    }

    /**
     * Adds a gap after the last batch of an incarnation without an end marker, if the host has
     * begun another incarnation or counts as lost. Otherwise the host is taken to be running, and
     * the journals are complete only until that batch.
     */
    private void addGapUnlessRunning(IncarnationMarker begin) {
        long lastCoveredMilliseconds =
                coveredUntil.getOrDefault(incarnationOf(begin), begin.atMilliseconds());
        OptionalLong next = nextBegin(begin);
        if (next.isEmpty() && now - lastCoveredMilliseconds <= lostAfterMilliseconds) {
            completeUntil = Math.min(completeUntil, lastCoveredMilliseconds);
            return;
        }
        long until = Math.max(next.orElse(now), lastCoveredMilliseconds);
        if (until >= from) {
            gaps.add(
                    new JournalGap(
                            begin.host(),
                            begin.incarnation(),
                            lastCoveredMilliseconds,
                            until,
                            JournalGap.UNKNOWN,
                            "the host wrote nothing more and did not end its journal"));
        }
    }

    private OptionalLong nextBegin(IncarnationMarker begin) {
        return markers.stream()
                .filter(other -> other.began() && other.host().equals(begin.host()))
                .filter(other -> !other.incarnation().equals(begin.incarnation()))
                .mapToLong(IncarnationMarker::atMilliseconds)
                .filter(at -> at > begin.atMilliseconds())
                .min();
    }

    private void addGapsOfHostsWithoutJournal(List<ListedHost> listed) {
        Set<String> known = new HashSet<>();
        markers.forEach(marker -> known.add(marker.host()));
        for (ListedHost host : listed) {
            if (!known.contains(host.name())) {
                gaps.add(
                        new JournalGap(
                                host.name(),
                                "",
                                from,
                                now,
                                JournalGap.UNKNOWN,
                                "the platform lists the host, but it wrote no journal"));
            }
        }
    }

    List<JournalGap> gaps() {
        return List.copyOf(gaps);
    }

    long completeUntil() {
        return completeUntil;
    }
}
