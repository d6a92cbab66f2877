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
import org.siskinramp.quarantine.CrashReporter;
import org.siskinramp.quarantine.CrashRowChange;
import org.siskinramp.quarantine.Quarantine;
import org.siskinramp.quarantine.QuarantinedContent;
import org.siskinramp.time.Scheduler;

/**
 * Shares between hosts which requests crash backend servers. A host that confirms a crash writes it
 * to the store, which survives the loss of any host, and reports it to the readers. The readers
 * count the crashes of all hosts and announce only the quarantined requests to their subscribers.
 * This stops a request that is sent to a different host each time. While the store is unavailable,
 * the messages alone spread the information.
 */
public final class QuarantineRelay implements CrashReporter {

    private static final long TICK_MILLISECONDS = 1_000;

    /** A lost message is made up for within the operators' limit of 3 s. */
    private static final int SNAPSHOT_INTERVAL_TICKS = 2;

    /**
     * For this long after the last request was released, empty snapshots are sent, so that
     * subscribers that missed one still release it.
     */
    private static final int EMPTY_SNAPSHOT_TICKS = 10;

    /**
     * Readers write a reported crash themselves if it is missing from the table after this time. A
     * live host that can reach the store has written its crashes by then.
     */
    private static final long WRITE_TAKEOVER_MILLISECONDS = 2_000;

    /** About 4 kB; if more requests are quarantined, only readers know all of them. */
    private static final int MAXIMUM_REQUESTS_PER_MESSAGE = 64;

    private final Quarantine quarantine;
    private final CrashPublisher publisher;
    private final Scheduler scheduler;
    private volatile RelayTopology topology;
    private volatile PeerSender peerSender;
    private volatile Consumer<List<String>> quarantineListener = contents -> {};
    private int ticks;
    private int emptyTicks = EMPTY_SNAPSHOT_TICKS;

    /**
     * Creates a relay, which must be started.
     *
     * @param quarantine the quarantine of this host
     * @param registry stores the crashes
     * @param scheduler runs delayed tasks
     * @param eventLog records writes of crashes
     */
    public QuarantineRelay(
            Quarantine quarantine, CrashRegistry registry, Scheduler scheduler, EventLog eventLog) {
        this.quarantine = Objects.requireNonNull(quarantine, "quarantine");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        this.publisher = new CrashPublisher(registry, scheduler, eventLog);
    }

    /**
     * Starts to exchange messages with other hosts.
     *
     * @param relayTopology provides the readers and subscribers
     * @param peers sends messages to other hosts
     * @param listener receives the fingerprints of quarantined requests: when the quarantine
     *     begins, and again when the crash count rises
     */
    public void start(
            RelayTopology relayTopology, PeerSender peers, Consumer<List<String>> listener) {
        topology = Objects.requireNonNull(relayTopology, "hosts");
        peerSender = Objects.requireNonNull(peers, "peers");
        quarantineListener = Objects.requireNonNull(listener, "listener");
        scheduler.schedule(TICK_MILLISECONDS, this::tick);
    }

    @Override
    public void report(List<Crash> crashes) {
        publisher.put(crashes);
        sendToReaders(new CrashReport(crashes, List.of()));
        announceQuarantined();
    }

    @Override
    public void clearRequest(String content) {
        List<String> keys = quarantine.clearRequest(content);
        if (hasNoOtherReaders() || topology.isReader()) {
            removeCrashes(keys);
        }
        sendToReaders(new CrashReport(List.of(), List.of(content)));
    }

    private boolean hasNoOtherReaders() {
        return topology == null || topology.readers().isEmpty();
    }

    private void removeCrashes(List<String> keys) {
        if (!keys.isEmpty()) {
            publisher.remove(keys);
            sendSnapshot();
        }
    }

    private void sendToReaders(PeerMessage message) {
        if (topology != null) {
            topology.readers().forEach(reader -> peerSender.send(reader, message));
        }
    }

    /**
     * Applies changes of the crashes table.
     *
     * @param changes the changes
     */
    public void onCrashChanges(Changes<CrashRowChange> changes) {
        quarantine.applyTableChanges(changes);
        announceQuarantined();
    }

    /**
     * Receives a message of another host. Messages that are not about crashes are ignored.
     *
     * @param host the sender
     * @param message the message
     */
    public void receive(String host, PeerMessage message) {
        if (message instanceof CrashReport report) {
            quarantine.add(report.crashes());
            report.clearedContents()
                    .forEach(content -> removeCrashes(quarantine.clearRequest(content)));
            announceQuarantined();
        } else if (message instanceof QuarantineNews update
                && topology != null
                && topology.acceptsUpdatesFrom(host)) {
            quarantine.applyPeerReport(update.contents(), update.isSnapshot());
            announceQuarantined();
        }
    }

    /** Announces requests that were quarantined or crashed another server since the last call. */
    private void announceQuarantined() {
        List<QuarantinedContent> unannounced = quarantine.takeUnannounced();
        if (unannounced.isEmpty()) {
            return;
        }
        sendToSubscribers(new QuarantineNews(false, mostRecent(unannounced)));
        quarantineListener.accept(unannounced.stream().map(QuarantinedContent::content).toList());
    }

    private static List<QuarantinedContent> mostRecent(List<QuarantinedContent> contents) {
        int size = contents.size();
        return contents.subList(Math.max(0, size - MAXIMUM_REQUESTS_PER_MESSAGE), size);
    }

    private void sendToSubscribers(PeerMessage message) {
        if (topology != null) {
            topology.subscribers().forEach(host -> peerSender.send(host, message));
        }
    }

    private void sendSnapshot() {
        sendToSubscribers(new QuarantineNews(true, mostRecent(quarantine.quarantinedRequests())));
    }

    private void tick() {
        try {
            boolean isReader = topology.isReader();
            List<String> expiredKeys = quarantine.removeExpired();
            if (isReader || hasNoOtherReaders()) {
                if (!expiredKeys.isEmpty()) {
                    publisher.remove(expiredKeys);
                }
                List<Crash> missingCrashes =
                        quarantine.crashesMissingFromTable(WRITE_TAKEOVER_MILLISECONDS);
                if (!missingCrashes.isEmpty()) {
                    publisher.put(missingCrashes);
                }
            }
            boolean isEmpty = quarantine.quarantinedRequests().isEmpty();
            emptyTicks = isEmpty ? emptyTicks + 1 : 0;
            ticks++;
            if (isReader
                    && emptyTicks < EMPTY_SNAPSHOT_TICKS
                    && ticks % SNAPSHOT_INTERVAL_TICKS == 0) {
                sendSnapshot();
            }
        } finally {
            scheduler.schedule(TICK_MILLISECONDS, this::tick);
        }
    }
}
