package org.siskinramp.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.peer.FeedNews;

/**
 * Chooses the hosts to which this host subscribes. A reader subscribes to none while its own reads
 * succeed; any other host subscribes to a reader. A host without fresh updates subscribes to
 * several hosts at once: to readers first, then to others, since the store may serve those. Not
 * thread-safe; guarded by the lock of its owner.
 */
final class SourceSelector {

    /** Three, so that hosts that the store also rejects do not delay the first fresh update. */
    private static final int SIMULTANEOUS_REQUESTS = 3;

    /** Hosts other than readers that are tried while no reader has fresh updates. */
    private static final int MAXIMUM_NON_READER_CANDIDATES = 8;

    private static final String NO_SOURCE = "none";

    private final HostEntry self;
    private final HostTable hostTable;
    private final Subscribers subscribers;
    private final Freshness freshness;
    private final EventLog eventLog;
    private final SourceTracker sourceTracker = new SourceTracker();
    private String lastLoggedSource = NO_SOURCE;
    private Optional<String> lastReader = Optional.empty();

    SourceSelector(
            HostEntry self,
            HostTable hostTable,
            Subscribers subscribers,
            Freshness freshness,
            EventLog eventLog) {
        this.self = self;
        this.hostTable = hostTable;
        this.subscribers = subscribers;
        this.freshness = freshness;
        this.eventLog = eventLog;
    }

    /** Tells whether this host is a reader. */
    boolean isReader(long now) {
        return names(hostTable.readers(now)).contains(self.name());
    }

    /**
     * Tells whether this host needs another source: the last read is overdue, or this host is a
     * reader and its last call for a table failed.
     */
    boolean isOverdue(long now) {
        if (!isReader(now)) {
            return freshness.isOverdue();
        }
        boolean readsOverdue =
                subscribers.isEmpty()
                        ? freshness.isOverdueWithoutSubscribers()
                        : freshness.isOverdue();
        return readsOverdue || freshness.isFailing();
    }

    /** Returns the hosts to subscribe to now: the source, or candidates for it. */
    List<String> hostsToSubscribeTo(long now) {
        List<String> chosen = new ArrayList<>();
        boolean overdue = isOverdue(now);
        if (isReader(now) && !overdue) {
            sourceTracker.clear();
        } else {
            List<String> readers = names(hostTable.readersByPreference(self, now));
            Optional<String> source = sourceTracker.current(now);
            source.ifPresent(chosen::add);
            if (source.isEmpty() && overdue) {
                List<String> candidates = new ArrayList<>(readers);
                candidates.addAll(
                        names(hostTable.successorsOf(self, MAXIMUM_NON_READER_CANDIDATES, now)));
                chosen.addAll(sourceTracker.chooseHosts(candidates, SIMULTANEOUS_REQUESTS, now));
            } else if (source.filter(readers::contains).isEmpty()) {
                chosen.addAll(sourceTracker.chooseHosts(readers, 1, now));
            }
        }
        logSource(now);
        return chosen;
    }

    /** Records that an update of a host was applied. */
    void onUpdate(String host, FeedNews update, long now) {
        sourceTracker.recordUpdate(
                host,
                now + freshness.remainingFreshMilliseconds(update),
                names(hostTable.readers(now)),
                now);
        logSource(now);
    }

    /**
     * Returns this host if it is a reader, or the reader that was its source last. While the store
     * is unavailable no updates are fresh, but hosts still reach each other.
     */
    Optional<String> reader(long now) {
        if (isReader(now)) {
            return Optional.of(self.name());
        }
        List<String> readers = names(hostTable.readers(now));
        Optional<String> source = sourceTracker.current(now).filter(readers::contains);
        lastReader = source.or(() -> lastReader.filter(readers::contains));
        return lastReader;
    }

    /** Tells whether this host recently subscribed to a host. */
    boolean hasSubscribedTo(String host) {
        return sourceTracker.hasSubscribedTo(host);
    }

    /** Logs tables that became stale or fresh since the last call. */
    void logFreshness() {
        freshness.logChanges(lastLoggedSource);
    }

    private void logSource(long now) {
        String source = sourceTracker.current(now).orElse(NO_SOURCE);
        if (!source.equals(lastLoggedSource)) {
            lastLoggedSource = source;
            eventLog.record(
                    LogEvent.named("feed_source")
                            .with("peer", source)
                            .with("reads_for_others", isReader(now))
                            .with("hosts", hostTable.count(self.name(), now)));
        }
    }

    private static List<String> names(List<HostEntry> hosts) {
        return hosts.stream().map(HostEntry::name).toList();
    }
}
