package org.siskinramp.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.peer.FeedNews;

/**
 * Decides whom this host asks to be told what the store holds. A reader asks nobody while its own
 * reads succeed; any other host asks a reader. Whoever gets no fresh news asks several at once:
 * readers first, then others, since the store may serve these. It is guarded by the lock of its
 * owner.
 */
final class SourceFinder {

    /** With three the first answers of hosts that the store turned away too cost no time. */
    private static final int ASKED_AT_ONCE = 3;

    /** Hosts that are asked while no reader has fresh news. */
    private static final int OTHERS_ASKED_AT_MOST = 8;

    private static final String NONE = "none";

    private final HostEntry self;
    private final HostTable table;
    private final Subscribers subscribers;
    private final Freshness freshness;
    private final EventLog eventLog;
    private final Sources sources = new Sources();
    private String logged = NONE;

    SourceFinder(
            HostEntry self,
            HostTable table,
            Subscribers subscribers,
            Freshness freshness,
            EventLog eventLog) {
        this.self = self;
        this.table = table;
        this.subscribers = subscribers;
        this.freshness = freshness;
        this.eventLog = eventLog;
    }

    /** Tells whether this host reads for others. */
    boolean isReader(long now) {
        return names(table.readers(now)).contains(self.name());
    }

    /** Tells whether this host should look for fresh news, since its own is overdue. */
    boolean isLate(long now) {
        if (!isReader(now)) {
            return freshness.isLate();
        }
        boolean overdue = subscribers.isEmpty() ? freshness.isLateAlone() : freshness.isLate();
        return overdue || freshness.isFailing();
    }

    /** Lists the hosts to ask now: the source, or those that may become it. */
    List<String> hostsToAsk(long now) {
        List<String> asked = new ArrayList<>();
        boolean late = isLate(now);
        if (isReader(now) && !late) {
            sources.leave();
        } else {
            List<String> readers = names(table.readersFor(self, now));
            Optional<String> source = sources.current(now);
            source.ifPresent(asked::add);
            if (source.isEmpty() && late) {
                List<String> candidates = new ArrayList<>(readers);
                candidates.addAll(names(table.neighboursOf(self, OTHERS_ASKED_AT_MOST, now)));
                asked.addAll(sources.next(candidates, ASKED_AT_ONCE, now));
            } else if (source.filter(readers::contains).isEmpty()) {
                asked.addAll(sources.next(readers, 1, now));
            }
        }
        log(now);
        return asked;
    }

    /** Takes in that a host told something. */
    void heard(String host, FeedNews news, long now) {
        sources.heard(
                host, now + freshness.freshMilliseconds(news), names(table.readers(now)), now);
        log(now);
    }

    /** Tells whether a host was asked not long ago. */
    boolean wasAsked(String host) {
        return sources.wasAsked(host);
    }

    /** Logs what became stale or fresh since it was called last. */
    void logFreshness() {
        freshness.log(logged);
    }

    private void log(long now) {
        String source = sources.current(now).orElse(NONE);
        if (!source.equals(logged)) {
            logged = source;
            eventLog.record(
                    LogEvent.named("feed_source")
                            .with("peer", source)
                            .with("reads_for_others", isReader(now))
                            .with("hosts", table.count(self.name(), now)));
        }
    }

    private static List<String> names(List<HostEntry> hosts) {
        return hosts.stream().map(HostEntry::name).toList();
    }
}
