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
 * Holds the entries of the published hosts, and chooses the readers among them. All hosts sort the
 * entries by the same hash, so they agree on the readers without messages. A small deployment has
 * two readers in any availability zones; a larger one has readers in each zone, since traffic
 * between zones is expensive. Not thread-safe; guarded by the lock of its owner.
 */
final class HostTable {

    /** With two, the loss of a reader makes other hosts read the store only for a short time. */
    private static final int MINIMUM_READERS = 2;

    /** Above this number of hosts each availability zone has its own readers. */
    private static final int MAXIMUM_HOSTS_WITHOUT_ZONE_READERS = 24;

    /** At 60 bytes to each host, twice a second, a reader sends less than its target of 4 KB/s. */
    private static final int HOSTS_PER_READER = 32;

    /** Live hosts renew their entries far more often; older entries are of replaced hosts. */
    private static final long ENTRY_EXPIRY_MILLISECONDS = 16 * 60_000;

    private static final LongHashFunction HASH = LongHashFunction.xx();
    private static final Comparator<HostEntry> HASH_ORDER =
            Comparator.comparingLong((HostEntry host) -> hash(host.name()))
                    .thenComparing(HostEntry::name);

    /** How long the sorted hosts are reused while the table does not change. */
    private static final long SORT_VALIDITY_MILLISECONDS = 10_000;

    private final Map<String, ReadEntry> hosts = new HashMap<>();
    private List<HostEntry> sortedHosts = List.of();
    private List<HostEntry> readers = List.of();
    private long sortValidUntil = Long.MIN_VALUE;

    private static long hash(String name) {
        return HASH.hashBytes(name.getBytes(StandardCharsets.UTF_8));
    }

    void apply(Changes<HostChange> changes, long now) {
        sortValidUntil = Long.MIN_VALUE;
        // Hosts publish themselves again after the store was restored.
        if (changes.isSnapshot() && !changes.isRestored()) {
            hosts.clear();
        }
        for (HostChange change : changes.items()) {
            change.entry()
                    .ifPresentOrElse(
                            entry -> hosts.put(change.name(), new ReadEntry(entry, now)),
                            () -> hosts.remove(change.name()));
        }
    }

    /** Counts the hosts, including the local host even if its entry was not read yet. */
    int count(String self, long now) {
        List<HostEntry> knownHosts = sortedHosts(now);
        boolean lacksSelf = knownHosts.stream().noneMatch(host -> host.name().equals(self));
        return knownHosts.size() + (lacksSelf ? 1 : 0);
    }

    List<HostEntry> readers(long now) {
        sortedHosts(now);
        return readers;
    }

    private List<HostEntry> sortedHosts(long now) {
        if (now >= sortValidUntil) {
            sortedHosts = sortUnexpiredHosts(now);
            readers = chooseReaders();
            sortValidUntil = now + SORT_VALIDITY_MILLISECONDS;
        }
        return sortedHosts;
    }

    private List<HostEntry> chooseReaders() {
        if (sortedHosts.size() <= MAXIMUM_HOSTS_WITHOUT_ZONE_READERS) {
            return sortedHosts.subList(0, Math.min(MINIMUM_READERS, sortedHosts.size()));
        }
        Map<String, List<HostEntry>> byZone = new TreeMap<>();
        for (HostEntry host : sortedHosts) {
            byZone.computeIfAbsent(host.availabilityZone(), zone -> new ArrayList<>()).add(host);
        }
        List<HostEntry> chosen = new ArrayList<>();
        for (List<HostEntry> zone : byZone.values()) {
            chosen.addAll(zone.subList(0, divideRoundingUp(zone.size(), HOSTS_PER_READER)));
        }
        return chosen;
    }

    /** Returns the readers in order of preference of a host: those of its zone come first. */
    List<HostEntry> readersByPreference(HostEntry self, long now) {
        List<HostEntry> preferred = new ArrayList<>(readers(now));
        preferred.removeIf(reader -> reader.name().equals(self.name()));
        preferred.sort(
                Comparator.comparing(
                                (HostEntry reader) ->
                                        !reader.availabilityZone().equals(self.availabilityZone()))
                        .thenComparingLong(reader -> hash(self.name() + reader.name())));
        return preferred;
    }

    /**
     * Returns the hosts that follow a host in the common order, cyclically. Each host has different
     * successors, which spreads the subscriptions.
     */
    List<HostEntry> successorsOf(HostEntry self, int limit, long now) {
        List<HostEntry> sorted = sortedHosts(now);
        int first = 0;
        while (first < sorted.size() && HASH_ORDER.compare(sorted.get(first), self) <= 0) {
            first++;
        }
        List<HostEntry> successors = new ArrayList<>();
        for (int offset = 0; offset < sorted.size() && successors.size() < limit; offset++) {
            HostEntry host = sorted.get((first + offset) % sorted.size());
            if (!host.name().equals(self.name())) {
                successors.add(host);
            }
        }
        return successors;
    }

    boolean contains(HostEntry entry) {
        ReadEntry readEntry = hosts.get(entry.name());
        return readEntry != null && readEntry.entry.equals(entry);
    }

    Optional<String> addressOf(String host) {
        return Optional.ofNullable(hosts.get(host)).map(readEntry -> readEntry.entry.address());
    }

    private List<HostEntry> sortUnexpiredHosts(long now) {
        List<HostEntry> unexpired = new ArrayList<>(hosts.size());
        for (ReadEntry readEntry : hosts.values()) {
            if (now - readEntry.readAtMilliseconds < ENTRY_EXPIRY_MILLISECONDS) {
                unexpired.add(readEntry.entry);
            }
        }
        unexpired.sort(HASH_ORDER);
        return unexpired;
    }

    private static int divideRoundingUp(int dividend, int divisor) {
        return (dividend + divisor - 1) / divisor;
    }

    private record ReadEntry(HostEntry entry, long readAtMilliseconds) {}
}
