package org.siskinramp.relay;

import java.util.ArrayList;
import java.util.List;
import org.siskinramp.fleet.ServerEntry;
import org.siskinramp.peer.FeedNews;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.time.Clock;

/**
 * Writes down for a host that asked what it does not know yet, and keeps what it was told. Guarded
 * by its owner's lock.
 */
final class NewsWriter {

    /** News that came over as many hosts is not handed on, so it cannot go round in circles. */
    private static final int HOPS_AT_MOST = 3;

    /** About 30 kB in a frame. */
    private static final int SERVERS_OF_A_MESSAGE = 200;

    private final ServerBook servers;
    private final OperatorBook operator;
    private final Subscribers subscribers;
    private final Followers followers;
    private final Clock clock;

    NewsWriter(
            ServerBook servers,
            OperatorBook operator,
            Subscribers subscribers,
            Followers followers,
            Clock clock) {
        this.servers = servers;
        this.operator = operator;
        this.subscribers = subscribers;
        this.followers = followers;
        this.clock = clock;
    }

    /**
     * Writes messages for a host, none if there is nothing to tell. A host that knows nothing is
     * told whatever is known here.
     *
     * @param hosts how many hosts are counted here
     * @param sinceGap how long ago a time without reads ended, in milliseconds
     * @param hops over how many hosts came what is known here
     */
    List<PeerMessage> messagesFor(String host, int hosts, long sinceGap, int hops) {
        long serversTold = subscribers.toldVersion(host);
        boolean tooFar = hops >= HOPS_AT_MOST && serversTold >= 0;
        if (tooFar || servers.version() < 0 || operator.version() == 0) {
            return List.of();
        }
        long operatorTold = subscribers.toldOperatorVersion(host);
        subscribers.told(host, servers.version(), operator.version());
        return since(serversTold, operatorTold, hosts, sinceGap, hops);
    }

    private List<PeerMessage> since(
            long serversTold, long operatorTold, int hosts, long sinceGap, int hops) {
        List<PeerMessage> messages = new ArrayList<>();
        if (operatorTold < operator.version()) {
            messages.addAll(operator.news(followers.operator().ageMilliseconds()));
        }
        ServerBook.News news = servers.since(serversTold, clock.monotonicMilliseconds());
        List<List<ServerEntry>> parts = NewsParts.split(news.entries(), SERVERS_OF_A_MESSAGE);
        for (int part = 0; part < parts.size(); part++) {
            messages.add(
                    new FeedNews(
                            serversTold,
                            servers.version(),
                            news.whole(),
                            part,
                            part + 1 < parts.size(),
                            parts.get(part),
                            news.gone(),
                            followers.servers().ageMilliseconds(),
                            sinceGap,
                            operator.version(),
                            followers.operator().ageMilliseconds(),
                            hosts,
                            hops));
        }
        return messages;
    }
}
