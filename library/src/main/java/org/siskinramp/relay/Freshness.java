package org.siskinramp.relay;

import org.siskinramp.follow.ChangeFollower;
import org.siskinramp.log.EventLog;
import org.siskinramp.peer.FeedNews;

/**
 * Checks the ages of the last reads of the servers table and the operator table, by this host or by
 * its source, against the staleness limits. Not thread-safe; guarded by the lock of its owner.
 */
final class Freshness {

    /** The age of a table that was not read yet, or whose changes arrive through a long poll. */
    private static final long NO_AGE_MILLISECONDS = 0;

    private final RelayOptions options;
    private final ChangeFollower<?> servers;
    private final ChangeFollower<?> operator;
    private final StalenessLog serverLog;
    private final StalenessLog operatorLog;

    Freshness(RelayOptions options, TableFollowers followers, EventLog eventLog) {
        this.options = options;
        servers = followers.servers();
        operator = followers.operator();
        serverLog =
                new StalenessLog("servers", options.serverStalenessLimitMilliseconds(), eventLog);
        operatorLog =
                new StalenessLog(
                        "operator", options.operatorStalenessLimitMilliseconds(), eventLog);
    }

    /** Tells whether the last read of this host or of its source is overdue. */
    boolean isOverdue() {
        return serversAgeMilliseconds() > options.serverOverdueMilliseconds()
                || operatorAgeMilliseconds() > options.operatorOverdueMilliseconds();
    }

    /** As {@link #isOverdue}, for a reader without subscribers, which reads less often. */
    boolean isOverdueWithoutSubscribers() {
        return serversAgeMilliseconds() > options.serverOverdueWithoutSubscribersMilliseconds()
                || operatorAgeMilliseconds() > options.operatorOverdueMilliseconds();
    }

    private long serversAgeMilliseconds() {
        return servers.isSynced() ? servers.ageMilliseconds() : NO_AGE_MILLISECONDS;
    }

    /** A long poll returns changes at once, so the age of the last read does not matter. */
    private long operatorAgeMilliseconds() {
        boolean isLongPolling = !operator.isLastReadByPeer() && !operator.isFailing();
        return operator.isSynced() && !isLongPolling
                ? operator.ageMilliseconds()
                : NO_AGE_MILLISECONDS;
    }

    /** Tells whether the last call of this host for either table failed. */
    boolean isFailing() {
        return servers.isFailing() || operator.isFailing();
    }

    /** Returns how much longer an update of another host is fresh, in milliseconds. */
    long remainingFreshMilliseconds(FeedNews update) {
        return Math.min(
                options.serverOverdueMilliseconds() - update.serversAgeMilliseconds(),
                options.operatorOverdueMilliseconds() - update.operatorAgeMilliseconds());
    }

    /** Logs tables that became stale or fresh. */
    void logChanges(String source) {
        serverLog.recordAge(serversAgeMilliseconds(), source);
        operatorLog.recordAge(operatorAgeMilliseconds(), source);
    }
}
