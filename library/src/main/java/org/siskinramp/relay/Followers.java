package org.siskinramp.relay;

import org.siskinramp.follow.ChangeFollower;
import org.siskinramp.follow.OperatorChange;
import org.siskinramp.follow.ServerChange;
import org.siskinramp.peer.FeedNews;
import org.siskinramp.quarantine.CrashChange;

/**
 * Holds the followers of a host's tables.
 *
 * @param servers follows the backend servers
 * @param operator follows the operator's table
 * @param hosts follows the hosts
 * @param crashes follows the requests under which backend servers ended
 */
public record Followers(
        ChangeFollower<ServerChange> servers,
        ChangeFollower<OperatorChange> operator,
        ChangeFollower<HostChange> hosts,
        ChangeFollower<CrashChange> crashes) {

    /** The hosts are read again only if no reader tells how many there are. */
    private static final long HOSTS_SPAN_MILLISECONDS = 30_000;

    /** Makes no calls but those for the hosts until a time. */
    void coverUntil(long milliseconds) {
        servers.coverUntil(milliseconds);
        operator.coverUntil(milliseconds);
        crashes.coverUntil(milliseconds);
    }

    /** Makes no calls while the reads that news rests on stand in. */
    void cover(FeedNews news, RelayOptions options, long now) {
        long serversUntil = now - news.ageMilliseconds() + options.serverSpanMilliseconds();
        servers.coverUntil(serversUntil);
        crashes.coverUntil(serversUntil);
        operator.coverUntil(
                now - news.operatorAgeMilliseconds() + options.operatorSpanMilliseconds());
        if (hosts.isSynced()) {
            hosts.coverUntil(now + HOSTS_SPAN_MILLISECONDS);
        }
        if (operator.version() < news.operatorVersion()) {
            operator.readNow();
        }
    }

    /** Reads at once what was never read. */
    void readMissing() {
        if (!servers.isSynced()) {
            servers.endCover();
            operator.endCover();
        }
        if (!crashes.isSynced()) {
            crashes.endCover();
        }
    }
}
