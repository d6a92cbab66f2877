package org.siskinramp.relay;

import java.util.ArrayList;
import java.util.List;
import org.siskinramp.peer.FeedNews;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.time.Clock;

/** Writes down for another host what it does not know yet. Guarded by its owner's lock. */
final class NewsWriter {

    /** About 30 kB in a frame. */
    private static final int SERVERS_OF_A_MESSAGE = 200;

    private final ServerBook servers;
    private final OperatorBook operator;
    private final Followers followers;
    private final Clock clock;

    NewsWriter(ServerBook servers, OperatorBook operator, Followers followers, Clock clock) {
        this.servers = servers;
        this.operator = operator;
        this.followers = followers;
        this.clock = clock;
    }

    /** Writes messages for a host that was told both tables up to these versions. */
    List<PeerMessage> since(
            long serversTold, long operatorTold, int hosts, long sinceGap, int hops) {
        List<PeerMessage> messages = new ArrayList<>();
        if (operatorTold < operator.version()) {
            operator.news(followers.operator().ageMilliseconds()).ifPresent(messages::add);
        }
        ServerBook.News news = servers.since(serversTold, clock.monotonicMilliseconds());
        int part = 0;
        int from = 0;
        do {
            int to = Math.min(news.entries().size(), from + SERVERS_OF_A_MESSAGE);
            messages.add(
                    new FeedNews(
                            serversTold,
                            servers.version(),
                            news.whole(),
                            part++,
                            to < news.entries().size(),
                            news.entries().subList(from, to),
                            news.gone(),
                            followers.servers().ageMilliseconds(),
                            sinceGap,
                            operator.version(),
                            followers.operator().ageMilliseconds(),
                            hosts,
                            hops));
            from = to;
        } while (from < news.entries().size());
        return messages;
    }
}
