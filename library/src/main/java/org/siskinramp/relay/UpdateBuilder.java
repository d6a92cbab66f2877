package org.siskinramp.relay;

import java.util.ArrayList;
import java.util.List;
import org.siskinramp.fleet.ServerEntry;
import org.siskinramp.peer.FeedNews;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.time.Clock;

/**
 * Builds the updates that bring a subscriber up to date, and records the versions sent to it. Not
 * thread-safe; guarded by the lock of its owner.
 */
final class UpdateBuilder {

    /** Updates relayed by this many hosts are not passed on, so that they cannot circulate. */
    private static final int MAXIMUM_HOPS = 3;

    /** About 30 kB per frame. */
    private static final int SERVERS_PER_MESSAGE = 200;

    private final ServerTableReplica serverReplica;
    private final OperatorTableReplica operatorReplica;
    private final Subscribers subscribers;
    private final TableFollowers followers;
    private final Clock clock;

    UpdateBuilder(
            ServerTableReplica serverReplica,
            OperatorTableReplica operatorReplica,
            Subscribers subscribers,
            TableFollowers followers,
            Clock clock) {
        this.serverReplica = serverReplica;
        this.operatorReplica = operatorReplica;
        this.subscribers = subscribers;
        this.followers = followers;
        this.clock = clock;
    }

    /**
     * Builds the messages for a subscriber. There are none while this host has no data, or if its
     * data has reached the hop limit and the subscriber has some already.
     *
     * @param hostCount the number of hosts as counted by this host
     * @param timeSinceReadGapMilliseconds the time since the end of the last read gap, in
     *     milliseconds
     * @param hops the number of hosts that relayed the data of this host
     */
    List<PeerMessage> messagesFor(
            String host, int hostCount, long timeSinceReadGapMilliseconds, int hops) {
        long sentServersVersion = subscribers.sentServersVersion(host);
        boolean hopLimitReached = hops >= MAXIMUM_HOPS && sentServersVersion >= 0;
        if (hopLimitReached || serverReplica.version() < 0 || operatorReplica.version() == 0) {
            return List.of();
        }
        long sentOperatorVersion = subscribers.sentOperatorVersion(host);
        subscribers.recordSentVersions(host, serverReplica.version(), operatorReplica.version());
        return messagesSince(
                sentServersVersion,
                sentOperatorVersion,
                hostCount,
                timeSinceReadGapMilliseconds,
                hops);
    }

    private List<PeerMessage> messagesSince(
            long sentServersVersion,
            long sentOperatorVersion,
            int hostCount,
            long timeSinceReadGapMilliseconds,
            int hops) {
        List<PeerMessage> messages = new ArrayList<>();
        if (sentOperatorVersion < operatorReplica.version()) {
            messages.addAll(
                    operatorReplica.unsolicitedMessages(
                            sentOperatorVersion, followers.operator().ageMilliseconds()));
        }
        ServerTableReplica.Update update =
                serverReplica.changesSince(sentServersVersion, clock.monotonicMilliseconds());
        List<List<ServerEntry>> parts = MultipartList.split(update.entries(), SERVERS_PER_MESSAGE);
        for (int part = 0; part < parts.size(); part++) {
            messages.add(
                    new FeedNews(
                            sentServersVersion,
                            serverReplica.version(),
                            update.isSnapshot(),
                            part,
                            part + 1 < parts.size(),
                            parts.get(part),
                            update.removedServers(),
                            followers.servers().ageMilliseconds(),
                            timeSinceReadGapMilliseconds,
                            operatorReplica.version(),
                            followers.operator().ageMilliseconds(),
                            hostCount,
                            hops));
        }
        return messages;
    }
}
