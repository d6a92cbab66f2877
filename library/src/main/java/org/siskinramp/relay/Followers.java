package org.siskinramp.relay;

import org.siskinramp.follow.ChangeFollower;
import org.siskinramp.follow.OperatorChange;
import org.siskinramp.follow.ServerChange;

/**
 * Holds the followers of a host's tables.
 *
 * @param servers follows the backend servers
 * @param operator follows the operator's table
 * @param hosts follows the hosts
 */
public record Followers(
        ChangeFollower<ServerChange> servers,
        ChangeFollower<OperatorChange> operator,
        ChangeFollower<HostChange> hosts) {

    long sinceRegainedMilliseconds() {
        return Math.min(servers.sinceRegainedMilliseconds(), operator.sinceRegainedMilliseconds());
    }
}
