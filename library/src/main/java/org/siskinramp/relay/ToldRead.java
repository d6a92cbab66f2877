package org.siskinramp.relay;

import org.siskinramp.follow.ChangeFollower;
import org.siskinramp.peer.FeedNews;

/**
 * Keeps what the last news of another host says of the read that it rests on. It is guarded by the
 * lock of its owner.
 */
final class ToldRead {

    private static final long NEVER = Long.MIN_VALUE / 2;

    private int hops;
    private long readAt = NEVER;
    private long gapEndedAt = NEVER;

    /** Takes news in; the gaps of an older read are passed over. */
    void follow(FeedNews news, long now) {
        hops = news.hops() + 1;
        if (now - news.ageMilliseconds() >= readAt) {
            readAt = now - news.ageMilliseconds();
            gapEndedAt = now - news.sinceGapMilliseconds();
        }
    }

    /** Returns over how many hosts came what is known of the servers, 0 if this one read them. */
    int hops(ChangeFollower<?> servers) {
        return servers.isTold() ? hops : 0;
    }

    /**
     * Returns how long ago a time ended in which no known host read the servers. A host that read
     * all the while shows that there was none.
     */
    long sinceGapMilliseconds(ChangeFollower<?> servers, long now) {
        long own = servers.sinceGapMilliseconds();
        boolean knowsBetter = readAt >= now - own;
        return knowsBetter ? Math.max(own, now - gapEndedAt) : own;
    }
}
