package org.siskinramp.relay;

import org.siskinramp.follow.ChangeFollower;
import org.siskinramp.peer.FeedNews;

/**
 * Records the read of the servers table on which the last update of another host is based. Not
 * thread-safe; guarded by the lock of its owner.
 */
final class LastPeerRead {

    private static final long NEVER = Long.MIN_VALUE / 2;

    private int hops;
    private long readAt = NEVER;
    private long gapEndedAt = NEVER;

    /** Records an update. Its read gap is ignored if its read is older than a known one. */
    void recordUpdate(FeedNews update, long now) {
        hops = update.hops() + 1;
        if (now - update.serversAgeMilliseconds() >= readAt) {
            readAt = now - update.serversAgeMilliseconds();
            gapEndedAt = now - update.timeSinceReadGapMilliseconds();
        }
    }

    /** Counts the hosts that relayed the last read of the servers table, 0 if this host read it. */
    int hops(ChangeFollower<?> servers) {
        return servers.isLastReadByPeer() ? hops : 0;
    }

    /**
     * Returns the time since the end of the last read gap of the servers table. A gap in the reads
     * of this host does not count if its source read the table meanwhile.
     */
    long timeSinceReadGapMilliseconds(ChangeFollower<?> servers, long now) {
        long ownMilliseconds = servers.timeSinceReadGapMilliseconds();
        boolean peerReadSinceOwnGap = readAt >= now - ownMilliseconds;
        return peerReadSinceOwnGap ? Math.max(ownMilliseconds, now - gapEndedAt) : ownMilliseconds;
    }
}
