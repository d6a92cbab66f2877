package org.siskinramp.relay;

import org.siskinramp.follow.ChangeFollower;
import org.siskinramp.follow.OperatorChange;
import org.siskinramp.follow.ServerChange;
import org.siskinramp.peer.FeedNews;
import org.siskinramp.quarantine.CrashRowChange;

/**
 * Holds the followers of the tables that a host reads.
 *
 * @param servers follows the servers table: the entries of backend servers
 * @param operator follows the operator table: routes and evacuated availability zones
 * @param hosts follows the hosts table: the entries of hosts
 * @param crashes follows the crashes table: crashes of backend servers with the requests that they
 *     ran
 */
public record TableFollowers(
        ChangeFollower<ServerChange> servers,
        ChangeFollower<OperatorChange> operator,
        ChangeFollower<HostChange> hosts,
        ChangeFollower<CrashRowChange> crashes) {

    /** Updates include the number of hosts, so a subscriber need not read the hosts table. */
    private static final long HOSTS_SUSPENSION_MILLISECONDS = 30_000;

    /** Suspends the reads of all tables but the hosts table until a time. */
    void suspendReadsUntil(long milliseconds) {
        servers.suspendReadsUntil(milliseconds);
        operator.suspendReadsUntil(milliseconds);
        crashes.suspendReadsUntil(milliseconds);
    }

    /**
     * Suspends reads until the reads on which an update is based exceed the staleness limits. Reads
     * the operator table at once if the sender has a newer version, since large changes of the
     * routes are not sent without a request.
     *
     * @param awaitsOperatorTable whether another host was asked for the operator table, which is
     *     not read then
     */
    void suspendReads(
            FeedNews update, RelayOptions options, long now, boolean awaitsOperatorTable) {
        long serversSuspendedUntil =
                now - update.serversAgeMilliseconds() + options.serverStalenessLimitMilliseconds();
        servers.suspendReadsUntil(serversSuspendedUntil);
        crashes.suspendReadsUntil(serversSuspendedUntil);
        operator.suspendReadsUntil(
                now
                        - update.operatorAgeMilliseconds()
                        + options.operatorStalenessLimitMilliseconds());
        if (hosts.isSynced()) {
            hosts.suspendReadsUntil(now + HOSTS_SUSPENSION_MILLISECONDS);
        }
        if (operator.version() < update.operatorVersion() && !awaitsOperatorTable) {
            operator.readNow();
        }
    }

    /** Reads the tables that were never read, at once. */
    void readUnsyncedTables() {
        if (!servers.isSynced()) {
            servers.resumeReads();
            operator.resumeReads();
        }
        if (!crashes.isSynced()) {
            crashes.resumeReads();
        }
    }

    /** Reads the servers at once if the operator table is the first to show a restored store. */
    void readServersOfNewEra() {
        if (servers.era() < operator.era() && !servers.isSuspended()) {
            servers.readNow();
        }
    }
}
