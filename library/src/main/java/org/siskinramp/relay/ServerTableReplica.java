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
 * Holds a copy of the servers table with the version of the last change of each entry, from which
 * snapshots and deltas for other hosts are built. A heartbeat that repeats the published state is
 * not a change, so updates do not grow with the number of heartbeats. Not thread-safe; guarded by
 * the lock of its owner.
 */
final class ServerTableReplica {

    /** Hosts whose version is older than the oldest retained removal receive a snapshot. */
    private static final int MAXIMUM_RETAINED_REMOVALS = 1_000;

    /**
     * Differences of the remaining warm-up time up to this are delays of heartbeats. A server that
     * becomes cold again changes it by far more.
     */
    private static final long COLD_TOLERANCE_MILLISECONDS = 500;

    private final Map<String, VersionedEntry> entriesByServer = new LinkedHashMap<>();
    private final Map<String, Long> removalVersions = new LinkedHashMap<>();
    private long oldestDeltaVersion = Long.MAX_VALUE;
    private long version = -1;

    long version() {
        return version;
    }

    void apply(Changes<ServerChange> changes, long now) {
        version = changes.version();
        oldestDeltaVersion = Math.min(oldestDeltaVersion, version);
        if (changes.isSnapshot()) {
            removeMissing(changes);
        }
        if (changes.isRestored()) {
            // Hosts whose data is of an earlier era receive a snapshot.
            oldestDeltaVersion = version;
            removalVersions.clear();
        }
        for (ServerChange change : changes.items()) {
            change.entry().ifPresentOrElse(entry -> put(entry, now), () -> remove(change.name()));
        }
    }

    private void removeMissing(Changes<ServerChange> changes) {
        Set<String> missing = new HashSet<>(entriesByServer.keySet());
        for (ServerChange change : changes.items()) {
            missing.remove(change.name());
        }
        missing.forEach(this::remove);
    }

    private void put(ServerEntry entry, long now) {
        String name = entry.server().name();
        VersionedEntry previous = entriesByServer.get(name);
        if (previous != null && entry.isOlderThan(previous.entry)) {
            return;
        }
        if (previous == null || previous.differsFrom(entry, now)) {
            entriesByServer.put(name, new VersionedEntry(entry, version, now));
            removalVersions.remove(name);
        }
    }

    private void remove(String name) {
        if (entriesByServer.remove(name) == null) {
            return;
        }
        removalVersions.put(name, version);
        if (removalVersions.size() > MAXIMUM_RETAINED_REMOVALS) {
            Iterator<Map.Entry<String, Long>> oldest = removalVersions.entrySet().iterator();
            oldestDeltaVersion = oldest.next().getValue();
            oldest.remove();
        }
    }

    /** Returns the changes since a version, or a snapshot if they are no longer retained. */
    Update changesSince(long baseVersion, long now) {
        boolean isSnapshot = baseVersion < oldestDeltaVersion || baseVersion > version;
        List<ServerEntry> entries = new ArrayList<>();
        for (VersionedEntry entry : entriesByServer.values()) {
            if (isSnapshot || entry.changedVersion > baseVersion) {
                entries.add(entry.entryAt(now));
            }
        }
        List<String> removedServers = new ArrayList<>();
        removalVersions.forEach(
                (name, removedVersion) -> {
                    if (!isSnapshot && removedVersion > baseVersion) {
                        removedServers.add(name);
                    }
                });
        return new Update(isSnapshot, entries, removedServers);
    }

    /** Converts an update of another host to the changes that a read of the table returns. */
    static Changes<ServerChange> changesOf(FeedNews update, List<ServerEntry> entries) {
        List<ServerChange> changes =
                new ArrayList<>(entries.size() + update.removedServers().size());
        entries.forEach(
                entry -> changes.add(new ServerChange(entry.server().name(), Optional.of(entry))));
        update.removedServers()
                .forEach(name -> changes.add(new ServerChange(name, Optional.empty())));
        return new Changes<>(update.serversVersion(), update.isSnapshot(), changes);
    }

    /** A snapshot or a delta. A snapshot holds all servers, so any others are to be removed. */
    record Update(boolean isSnapshot, List<ServerEntry> entries, List<String> removedServers) {}

    private record VersionedEntry(ServerEntry entry, long changedVersion, long readAtMilliseconds) {

        private boolean differsFrom(ServerEntry newer, long now) {
            return !newer.server().equals(entry.server())
                    || newer.leaving() != entry.leaving()
                    || newer.startedMilliseconds() != entry.startedMilliseconds()
                    || !newer.softwareVersion().equals(entry.softwareVersion())
                    || Math.abs(
                                    newer.remainingWarmUpMilliseconds()
                                            - remainingWarmUpMilliseconds(now))
                            > COLD_TOLERANCE_MILLISECONDS;
        }

        private long remainingWarmUpMilliseconds(long now) {
            return Math.max(0, entry.remainingWarmUpMilliseconds() - (now - readAtMilliseconds));
        }

        private ServerEntry entryAt(long now) {
            return new ServerEntry(
                    entry.server(),
                    entry.leaving(),
                    remainingWarmUpMilliseconds(now),
                    entry.startedMilliseconds(),
                    entry.sequence(),
                    entry.softwareVersion());
        }
    }
}
