package org.siskinramp.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.siskinramp.fleet.ServerEntry;
import org.siskinramp.follow.Changes;
import org.siskinramp.follow.ServerChange;
import org.siskinramp.peer.FeedNews;

/**
 * Keeps the entries of backend servers with the version of their last change, to tell others what
 * changed since a version. A publication that only repeats what is known is no change, so that what
 * is told does not grow with the servers' heartbeats. It is guarded by the lock of its owner.
 */
final class ServerBook {

    /** Removals that are kept to be told; who knows less is told all entries. */
    private static final int REMOVALS_KEPT = 1_000;

    /** A server that turns cold again changes this by far more, a delayed heartbeat by less. */
    private static final long COLD_TOLERANCE_MILLISECONDS = 500;

    private final Map<String, Line> lines = new LinkedHashMap<>();
    private final Map<String, Long> removals = new LinkedHashMap<>();
    private long firstVersion = Long.MAX_VALUE;
    private long version = -1;

    long version() {
        return version;
    }

    void follow(Changes<ServerChange> changes, long now) {
        version = changes.version();
        firstVersion = Math.min(firstVersion, version);
        if (changes.whole()) {
            removeMissing(changes);
        }
        for (ServerChange change : changes.items()) {
            change.entry()
                    .ifPresentOrElse(entry -> put(entry, now), () -> removeOne(change.name()));
        }
    }

    private void removeMissing(Changes<ServerChange> changes) {
        Set<String> missing = new HashSet<>(lines.keySet());
        for (ServerChange change : changes.items()) {
            missing.remove(change.name());
        }
        missing.forEach(this::removeOne);
    }

    private void put(ServerEntry entry, long now) {
        String name = entry.server().name();
        Line known = lines.get(name);
        if (known == null || known.differsFrom(entry, now)) {
            lines.put(name, new Line(entry, version, now));
            removals.remove(name);
        }
    }

    private void removeOne(String name) {
        if (lines.remove(name) == null) {
            return;
        }
        removals.put(name, version);
        if (removals.size() > REMOVALS_KEPT) {
            Iterator<Map.Entry<String, Long>> oldest = removals.entrySet().iterator();
            firstVersion = oldest.next().getValue();
            oldest.remove();
        }
    }

    /** Tells the changes after a version, or all entries if those are not known any more. */
    News since(long known, long now) {
        boolean whole = known < firstVersion || known > version;
        List<ServerEntry> entries = new ArrayList<>();
        for (Line line : lines.values()) {
            if (whole || line.changedVersion > known) {
                entries.add(line.at(now));
            }
        }
        List<String> gone = new ArrayList<>();
        removals.forEach(
                (name, removedVersion) -> {
                    if (!whole && removedVersion > known) {
                        gone.add(name);
                    }
                });
        return new News(whole, entries, gone);
    }

    /** Turns what another host tells into the changes that a read of the table would give. */
    static Changes<ServerChange> changesOf(FeedNews news, List<ServerEntry> entries) {
        List<ServerChange> changes = new ArrayList<>(entries.size() + news.gone().size());
        entries.forEach(
                entry -> changes.add(new ServerChange(entry.server().name(), Optional.of(entry))));
        news.gone().forEach(name -> changes.add(new ServerChange(name, Optional.empty())));
        return new Changes<>(news.version(), news.whole(), changes);
    }

    /** Holds entries to tell; if they are whole, servers that are not among them are gone. */
    record News(boolean whole, List<ServerEntry> entries, List<String> gone) {}

    private record Line(ServerEntry entry, long changedVersion, long readMilliseconds) {

        private boolean differsFrom(ServerEntry newer, long now) {
            return !newer.server().equals(entry.server())
                    || newer.leaving() != entry.leaving()
                    || newer.bornMilliseconds() != entry.bornMilliseconds()
                    || Math.abs(newer.coldMilliseconds() - coldLeft(now))
                            > COLD_TOLERANCE_MILLISECONDS;
        }

        private long coldLeft(long now) {
            return Math.max(0, entry.coldMilliseconds() - (now - readMilliseconds));
        }

        private ServerEntry at(long now) {
            return new ServerEntry(
                    entry.server(),
                    entry.leaving(),
                    coldLeft(now),
                    entry.bornMilliseconds(),
                    entry.sequence());
        }
    }
}
