package org.siskinramp.relay;

import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import org.siskinramp.follow.Changes;
import org.siskinramp.log.EventLog;
import org.siskinramp.peer.CrashReport;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.peer.PeerSender;
import org.siskinramp.peer.QuarantineNews;
import org.siskinramp.quarantine.Crash;
import org.siskinramp.quarantine.CrashChange;
import org.siskinramp.quarantine.CrashReporter;
import org.siskinramp.quarantine.Quarantine;
import org.siskinramp.quarantine.QuarantinedContent;
import org.siskinramp.time.Scheduler;

/**
 * Lets all hosts know which requests end backend servers. A host that proves a crash writes it to
 * the store, which outlives every host, and tells the hosts that read for the others; these count
 * the crashes of all and tell the others only which requests to refuse. Answers a request that
 * comes to another host each time, also while the store is away: then the messages alone carry it.
 */
public final class QuarantineRelay implements CrashReporter {

    private static final long TICK_MILLISECONDS = 1_000;

    /** A message that was lost is made up for within the 3 s of the operators' bound. */
    private static final int TICKS_BETWEEN_WHOLE_NEWS = 2;

    /** After the last request was released others are told so for this long. */
    private static final int TICKS_OF_EMPTY_NEWS = 10;

    /** A host that lives and reaches the store has written its crashes by then. */
    private static final long DEPUTY_MILLISECONDS = 2_000;

    /** About 4 kB; more requests than these are known to readers only. */
    private static final int CONTENTS_TOLD_AT_MOST = 64;

    private final Quarantine quarantine;
    private final CrashPublisher publisher;
    private final Scheduler scheduler;
    private volatile Neighbours neighbours;
    private volatile PeerSender sender;
    private volatile Consumer<List<String>> refused = contents -> {};
    private int ticks;
    private int emptyTicks = TICKS_OF_EMPTY_NEWS;

    /**
     * Creates a relay, which must be started.
     *
     * @param quarantine what this host knows
     * @param registry where crashes are written
     * @param scheduler runs delayed tasks
     * @param eventLog is told what was written
     */
    public QuarantineRelay(
            Quarantine quarantine, CrashRegistry registry, Scheduler scheduler, EventLog eventLog) {
        this.quarantine = Objects.requireNonNull(quarantine, "quarantine");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        this.publisher = new CrashPublisher(registry, scheduler, eventLog);
    }

    /**
     * Tells and listens from now on.
     *
     * @param hosts the hosts to talk with
     * @param peers sends to them
     * @param listener is told the fingerprints of requests that are refused from now on
     */
    public void start(Neighbours hosts, PeerSender peers, Consumer<List<String>> listener) {
        neighbours = Objects.requireNonNull(hosts, "hosts");
        sender = Objects.requireNonNull(peers, "peers");
        refused = Objects.requireNonNull(listener, "listener");
        scheduler.schedule(TICK_MILLISECONDS, this::tick);
    }

    @Override
    public void report(List<Crash> crashes) {
        publisher.put(crashes);
        tellReaders(new CrashReport(crashes, List.of()));
        announce();
    }

    @Override
    public void acquit(String content) {
        List<String> keys = quarantine.acquit(content);
        if (isAlone() || neighbours.isReader()) {
            removed(keys);
        }
        tellReaders(new CrashReport(List.of(), List.of(content)));
    }

    private boolean isAlone() {
        return neighbours == null || neighbours.readers().isEmpty();
    }

    private void removed(List<String> keys) {
        if (!keys.isEmpty()) {
            publisher.remove(keys);
            tellWhole();
        }
    }

    private void tellReaders(PeerMessage message) {
        if (neighbours != null) {
            neighbours.readers().forEach(reader -> sender.send(reader, message));
        }
    }

    /**
     * Takes what this host read of the table of crashes.
     *
     * @param changes the changes
     */
    public void crashesRead(Changes<CrashChange> changes) {
        quarantine.follow(changes);
        announce();
    }

    /**
     * Takes a message of another host. Messages that are not about crashes are passed over.
     *
     * @param host the sender
     * @param message the message
     */
    public void receive(String host, PeerMessage message) {
        if (message instanceof CrashReport report) {
            quarantine.add(report.crashes());
            report.acquitted().forEach(content -> removed(quarantine.acquit(content)));
            announce();
        } else if (message instanceof QuarantineNews news
                && neighbours != null
                && neighbours.listensTo(host)) {
            quarantine.followTold(news.contents(), news.whole());
            announce();
        }
    }

    /** Passes on what is refused from now on; what was known before is not told again. */
    private void announce() {
        List<QuarantinedContent> fresh = quarantine.takeUnannounced();
        if (fresh.isEmpty()) {
            return;
        }
        tellSubscribers(new QuarantineNews(false, newest(fresh)));
        refused.accept(fresh.stream().map(QuarantinedContent::content).toList());
    }

    private static List<QuarantinedContent> newest(List<QuarantinedContent> contents) {
        int size = contents.size();
        return contents.subList(Math.max(0, size - CONTENTS_TOLD_AT_MOST), size);
    }

    private void tellSubscribers(PeerMessage message) {
        if (neighbours != null) {
            neighbours.subscribers().forEach(host -> sender.send(host, message));
        }
    }

    private void tellWhole() {
        tellSubscribers(new QuarantineNews(true, newest(quarantine.contents())));
    }

    private void tick() {
        try {
            boolean reader = neighbours.isReader();
            List<String> old = quarantine.forgetOld();
            if (reader || isAlone()) {
                if (!old.isEmpty()) {
                    publisher.remove(old);
                }
                List<Crash> unread = quarantine.unread(DEPUTY_MILLISECONDS);
                if (!unread.isEmpty()) {
                    publisher.put(unread);
                }
            }
            boolean isEmpty = quarantine.contents().isEmpty();
            emptyTicks = isEmpty ? emptyTicks + 1 : 0;
            ticks++;
            if (reader
                    && emptyTicks < TICKS_OF_EMPTY_NEWS
                    && ticks % TICKS_BETWEEN_WHOLE_NEWS == 0) {
                tellWhole();
            }
        } finally {
            scheduler.schedule(TICK_MILLISECONDS, this::tick);
        }
    }
}
