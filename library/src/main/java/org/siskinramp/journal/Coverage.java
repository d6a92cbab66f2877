package org.siskinramp.journal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.siskinramp.platform.ListedHost;

/** Works out from names of objects in which times the journal of each entry host has no records. */
final class Coverage {

    private final List<Marker> markers;
    private final Map<Incarnation, Long> coveredUntil = new HashMap<>();
    private final List<JournalGap> gaps = new ArrayList<>();
    private final long from;
    private final long now;
    private final long lostAfterMilliseconds;
    private long completeUntil;

    private Coverage(
            List<Marker> markers, List<BatchName> batches, long from, long now, long lostAfter) {
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
     * Works out the coverage.
     *
     * @param markers begins and ends of incarnations
     * @param batches the batches of the searched time
     * @param listed the entry hosts that the platform lists
     * @param from the start of the searched time
     * @param now the end of the searched time
     * @param lostAfter after how long without a batch a host counts as lost
     * @return the coverage
     */
    static Coverage of(
            List<Marker> markers,
            List<BatchName> batches,
            List<ListedHost> listed,
            long from,
            long now,
            long lostAfter) {
        Coverage coverage = new Coverage(markers, batches, from, now, lostAfter);
        coverage.coverIncarnations();
        coverage.coverUnknownHosts(listed);
        return coverage;
    }

    private void coverIncarnations() {
        Set<Incarnation> ended = new HashSet<>();
        markers.stream()
                .filter(marker -> !marker.began())
                .forEach(marker -> ended.add(incarnationOf(marker)));
        for (Marker marker : markers) {
            if (marker.began() && !ended.contains(incarnationOf(marker))) {
                coverUnended(marker);
            }
        }
    }

    private static Incarnation incarnationOf(Marker marker) {
        return new Incarnation(marker.host(), marker.incarnation());
    }

    private void coverUnended(Marker begin) {
        long covered = coveredUntil.getOrDefault(incarnationOf(begin), begin.atMilliseconds());
        OptionalLong next = nextBegin(begin);
        if (next.isEmpty() && now - covered <= lostAfterMilliseconds) {
            completeUntil = Math.min(completeUntil, covered);
            return;
        }
        long until = Math.max(next.orElse(now), covered);
        if (until >= from) {
            gaps.add(
                    new JournalGap(
                            begin.host(),
                            begin.incarnation(),
                            covered,
                            until,
                            JournalGap.UNKNOWN,
                            "the host wrote nothing more and did not end its journal"));
        }
    }

    private OptionalLong nextBegin(Marker begin) {
        return markers.stream()
                .filter(other -> other.began() && other.host().equals(begin.host()))
                .filter(other -> !other.incarnation().equals(begin.incarnation()))
                .mapToLong(Marker::atMilliseconds)
                .filter(at -> at > begin.atMilliseconds())
                .min();
    }

    private void coverUnknownHosts(List<ListedHost> listed) {
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
