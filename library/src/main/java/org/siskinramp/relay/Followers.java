package org.siskinramp.relay;

import org.siskinramp.follow.ChangeFollower;
import org.siskinramp.follow.OperatorChange;
import org.siskinramp.follow.ServerChange;
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
        ChangeFollower<CrashChange> crashes) {}
