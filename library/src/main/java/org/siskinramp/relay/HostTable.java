package org.siskinramp.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;
import org.siskinramp.follow.Changes;

/**
 * Keeps the hosts that published themselves, and says which of them read for the others. All hosts
 * put them in the same order without a message. A few hosts have two readers, wherever these are;
 * more have readers in each availability zone, since bytes between zones are dear. It is guarded by
 * the lock of its owner.
 */
final class HostTable {

    /** With two, the loss of a reader makes no other host read for itself for long. */
    private static final int FEWEST_READERS = 2;

    /** Above this number of hosts each availability zone has readers of its own. */
    private static final int HOSTS_OF_TWO_READERS = 24;

    /** With 60 bytes to each, twice a second, a reader sends less than the 4 KB/s of its target. */
    private static final int HOSTS_OF_A_READER = 32;

    /** An entry is renewed far more often; a host that was replaced is no longer counted then. */
    private static final long FORGOTTEN_MILLISECONDS = 16 * 60_000;

    private static final LongHashFunction HASH = LongHashFunction.xx();
    private static final Comparator<HostEntry> ORDER =
            Comparator.comparingLong((HostEntry host) -> hash(host.name()))
                    .thenComparing(HostEntry::name);

    /** How long the order of the hosts is kept while none is read that changes it. */
    private static final long ORDER_KEPT_MILLISECONDS = 10_000;

    private final Map<String, Seen> hosts = new HashMap<>();
    private List<HostEntry> ordered = List.of();
    private List<HostEntry> readers = List.of();
    private long orderedUntil = Long.MIN_VALUE;

    private static long hash(String name) {
        return HASH.hashBytes(name.getBytes(StandardCharsets.UTF_8));
    }

    void follow(Changes<HostChange> changes, long now) {
        orderedUntil = Long.MIN_VALUE;
        if (changes.whole()) {
            hosts.clear();
        }
        for (HostChange change : changes.items()) {
            change.entry()
                    .ifPresentOrElse(
                            entry -> hosts.put(change.name(), new Seen(entry, now)),
                            () -> hosts.remove(change.name()));
        }
    }

    /** Counts the hosts, the asking one included even if its entry was not read yet. */
    int count(String self, long now) {
        List<HostEntry> present = ordered(now);
        boolean lacksSelf = present.stream().noneMatch(host -> host.name().equals(self));
        return present.size() + (lacksSelf ? 1 : 0);
    }

    /** Lists the hosts that read for the others. */
    List<HostEntry> readers(long now) {
        ordered(now);
        return readers;
    }

    private List<HostEntry> ordered(long now) {
        if (now >= orderedUntil) {
            ordered = present(now);
            readers = chooseReaders();
            orderedUntil = now + ORDER_KEPT_MILLISECONDS;
        }
        return ordered;
    }

    private List<HostEntry> chooseReaders() {
        if (ordered.size() <= HOSTS_OF_TWO_READERS) {
            return ordered.subList(0, Math.min(FEWEST_READERS, ordered.size()));
        }
        Map<String, List<HostEntry>> byZone = new TreeMap<>();
        for (HostEntry host : ordered) {
            byZone.computeIfAbsent(host.availabilityZone(), zone -> new ArrayList<>()).add(host);
        }
        List<HostEntry> chosen = new ArrayList<>();
        for (List<HostEntry> zone : byZone.values()) {
            chosen.addAll(zone.subList(0, ceil(zone.size(), HOSTS_OF_A_READER)));
        }
        return chosen;
    }

    /** Lists the readers in the order in which a host asks them: those of its zone come first. */
    List<HostEntry> readersFor(HostEntry self, long now) {
        List<HostEntry> readers = new ArrayList<>(readers(now));
        readers.removeIf(reader -> reader.name().equals(self.name()));
        readers.sort(
                Comparator.comparing(
                                (HostEntry reader) ->
                                        !reader.availabilityZone().equals(self.availabilityZone()))
                        .thenComparingLong(reader -> hash(self.name() + reader.name())));
        return readers;
    }

    /** Lists the hosts that follow one in the order of all, so that none is asked by many. */
    List<HostEntry> neighboursOf(HostEntry self, int most, long now) {
        List<HostEntry> order = ordered(now);
        int first = 0;
        while (first < order.size() && ORDER.compare(order.get(first), self) <= 0) {
            first++;
        }
        List<HostEntry> neighbours = new ArrayList<>();
        for (int place = 0; place < order.size() && neighbours.size() < most; place++) {
            HostEntry host = order.get((first + place) % order.size());
            if (!host.name().equals(self.name())) {
                neighbours.add(host);
            }
        }
        return neighbours;
    }

    boolean holds(HostEntry entry) {
        Seen seen = hosts.get(entry.name());
        return seen != null && seen.entry.equals(entry);
    }

    Optional<String> addressOf(String host) {
        return Optional.ofNullable(hosts.get(host)).map(seen -> seen.entry.address());
    }

    private List<HostEntry> present(long now) {
        List<HostEntry> present = new ArrayList<>(hosts.size());
        for (Seen seen : hosts.values()) {
            if (now - seen.milliseconds < FORGOTTEN_MILLISECONDS) {
                present.add(seen.entry);
            }
        }
        present.sort(ORDER);
        return present;
    }

    private static int ceil(int dividend, int divisor) {
        return (dividend + divisor - 1) / divisor;
    }

    private record Seen(HostEntry entry, long milliseconds) {}
}
