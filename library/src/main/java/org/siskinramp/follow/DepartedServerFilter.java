package org.siskinramp.follow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.siskinramp.fleet.ServerEntry;
import org.siskinramp.time.Clock;

/**
 * Ignores entries of departed backend servers that reappear when the store is restored from an
 * older copy. Such an entry counts again once the server has renewed it. Not thread-safe; its owner
 * guards it.
 */
public final class DepartedServerFilter {

    /** Far longer than the age of a copy from which the store is restored. */
    private static final long RETENTION_MILLISECONDS = 600_000;

    private final Clock clock;
    private final Map<String, ServerEntry> present = new HashMap<>();
    private final Map<String, Departure> departures = new LinkedHashMap<>();
    private final Map<String, ServerEntry> ignored = new HashMap<>();

    /**
     * Creates a filter.
     *
     * @param clock tells the time
     */
    public DepartedServerFilter(Clock clock) {
        this.clock = clock;
    }

    /**
     * Records which servers departed, and removes the entries that must be ignored.
     *
     * @param changes changes of the servers table
     * @return the changes without those entries
     */
    public Changes<ServerChange> apply(Changes<ServerChange> changes) {
        removeExpired();
        List<ServerChange> accepted = new ArrayList<>(changes.items().size());
        Set<String> named = new HashSet<>();
        for (ServerChange change : changes.items()) {
            named.add(change.name());
            if (!isIgnored(change, changes.isRestored())) {
                accepted.add(change);
                record(change);
            }
        }
        if (changes.isSnapshot()) {
            recordMissing(named);
        }
        return new Changes<>(
                changes.version(), changes.isSnapshot(), changes.isRestored(), accepted);
    }

    private boolean isIgnored(ServerChange change, boolean isRestored) {
        Optional<ServerEntry> entry = change.entry();
        if (entry.isEmpty()) {
            return false;
        }
        Departure departure = departures.get(change.name());
        if (isRestored && departure != null && !departure.lastEntry.isOlderThan(entry.get())) {
            ignored.put(change.name(), entry.get());
            return true;
        }
        ServerEntry restored = ignored.get(change.name());
        return restored != null
                && restored.startedMilliseconds() == entry.get().startedMilliseconds()
                && restored.sequence() == entry.get().sequence();
    }

    private void record(ServerChange change) {
        ignored.remove(change.name());
        change.entry()
                .ifPresentOrElse(
                        entry -> {
                            present.merge(
                                    change.name(),
                                    entry,
                                    (known, read) -> read.isOlderThan(known) ? known : read);
                            departures.remove(change.name());
                        },
                        () -> recordDeparture(change.name()));
    }

    private void recordDeparture(String name) {
        ServerEntry lastEntry = present.remove(name);
        if (lastEntry != null) {
            departures.put(name, new Departure(clock.monotonicMilliseconds(), lastEntry));
        }
    }

    /**
     * Takes the servers that are missing from a snapshot for departed, after a restore as well: one
     * that lives renews its entry.
     */
    private void recordMissing(Set<String> named) {
        Set<String> missing = new HashSet<>(present.keySet());
        missing.removeAll(named);
        missing.forEach(this::recordDeparture);
    }

    private void removeExpired() {
        long oldest = clock.monotonicMilliseconds() - RETENTION_MILLISECONDS;
        departures.values().removeIf(departure -> departure.at < oldest);
        ignored.keySet().retainAll(departures.keySet());
    }

    private record Departure(long at, ServerEntry lastEntry) {}
}
