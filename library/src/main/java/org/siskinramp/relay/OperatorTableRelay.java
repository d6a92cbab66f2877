package org.siskinramp.relay;

import java.util.List;
import java.util.Optional;
import org.siskinramp.follow.ChangeFollower;
import org.siskinramp.follow.Changes;
import org.siskinramp.follow.OperatorChange;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.peer.OperatorDelta;
import org.siskinramp.peer.OperatorNews;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.peer.PeerSender;
import org.siskinramp.peer.RouteLine;
import org.siskinramp.peer.RoutesAsk;
import org.siskinramp.time.Clock;

/**
 * Exchanges the operator table with other hosts: answers requests for it, applies snapshots and
 * deltas, and requests a snapshot if a delta does not apply or the store rejects this host.
 *
 * <p>The replica, the reassembler and the requests are guarded by the lock of the relay.
 */
final class OperatorTableRelay {

    private final Object lock;
    private final OperatorTableReplica replica;
    private final UpdateReassembler reassembler;
    private final RouteRequests requests = new RouteRequests();
    private final ChangeFollower<OperatorChange> follower;
    private final PeerSender peerSender;
    private final Clock clock;
    private final EventLog eventLog;

    OperatorTableRelay(
            Object lock,
            OperatorTableReplica replica,
            UpdateReassembler reassembler,
            ChangeFollower<OperatorChange> follower,
            PeerSender peerSender,
            Clock clock,
            EventLog eventLog) {
        this.lock = lock;
        this.replica = replica;
        this.reassembler = reassembler;
        this.follower = follower;
        this.peerSender = peerSender;
        this.clock = clock;
        this.eventLog = eventLog;
    }

    /** Answers a request for the table, if this host has a newer version. */
    void answer(String host, RoutesAsk request) {
        List<OperatorNews> messages;
        synchronized (lock) {
            messages =
                    replica.version() > request.operatorVersion()
                            ? replica.snapshotMessages(follower.ageMilliseconds())
                            : List.of();
        }
        messages.forEach(message -> peerSender.send(host, message));
    }

    /** Receives a message of a host from which updates are accepted; ignores other kinds. */
    void receive(String host, PeerMessage message) {
        if (message instanceof OperatorNews update) {
            onSnapshot(host, update);
        } else if (message instanceof OperatorDelta update) {
            onDelta(host, update);
        }
    }

    private void onSnapshot(String host, OperatorNews update) {
        Optional<List<RouteLine>> routes;
        synchronized (lock) {
            routes = reassembler.addPart(host, update);
        }
        routes.ifPresent(
                lines ->
                        follower.applyPeerChanges(
                                update.operatorVersion(),
                                OperatorTableReplica.changesOf(update, lines),
                                update.ageMilliseconds()));
    }

    private void onDelta(String host, OperatorDelta update) {
        long localVersion = follower.version();
        if (update.operatorVersion() <= localVersion) {
            return;
        }
        Optional<Changes<OperatorChange>> changes;
        boolean isRequestDue;
        synchronized (lock) {
            changes = replica.changesOf(update);
            isRequestDue =
                    changes.isEmpty() && requests.requestAfterDelta(clock.monotonicMilliseconds());
        }
        changes.ifPresent(
                complete ->
                        follower.applyPeerChanges(
                                update.operatorVersion(), complete, update.ageMilliseconds()));
        if (isRequestDue) {
            eventLog.record(
                    LogEvent.named("operator_delta_not_applicable")
                            .with("peer", host)
                            .with("base_routes_version", update.routes().baseVersion())
                            .with("routes_version", update.routes().version()));
            peerSender.send(host, new RoutesAsk(localVersion));
        }
    }

    /** Records that a host has a version of the operator table. Called with the lock held. */
    void recordVersion(String host, long version) {
        requests.recordVersion(host, version);
    }

    /** Tells whether a snapshot was requested that may still arrive. */
    boolean awaitsSnapshot() {
        synchronized (lock) {
            return requests.awaitsAnswer(clock.monotonicMilliseconds());
        }
    }

    /** Requests the routes from a peer with a newer version if this host cannot read them. */
    void requestMissingRoutes() {
        if (!follower.isFailing()) {
            return;
        }
        long localVersion = follower.version();
        Optional<String> newestHost;
        synchronized (lock) {
            newestHost = requests.next(localVersion, clock.monotonicMilliseconds());
        }
        newestHost.ifPresent(host -> peerSender.send(host, new RoutesAsk(localVersion)));
    }
}
