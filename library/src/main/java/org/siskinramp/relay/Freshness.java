package org.siskinramp.relay;

import org.siskinramp.follow.ChangeFollower;
import org.siskinramp.log.EventLog;
import org.siskinramp.peer.FeedNews;

/**
 * Judges how old the last reads of the servers and of the operator's table are, by this host or by
 * its source. It is guarded by the lock of its owner.
 */
final class Freshness {

    private final RelayOptions options;
    private final ChangeFollower<?> servers;
    private final ChangeFollower<?> operator;
    private final StalenessLog serverLog;
    private final StalenessLog operatorLog;

    Freshness(RelayOptions options, Followers followers, EventLog eventLog) {
        this.options = options;
        servers = followers.servers();
        operator = followers.operator();
        serverLog = new StalenessLog("servers", options.serverSpanMilliseconds(), eventLog);
        operatorLog = new StalenessLog("operator", options.operatorSpanMilliseconds(), eventLog);
    }

    /** Tells whether a read that this host relies on is overdue. */
    boolean isLate() {
        return isOlder(servers, options.serverLateMilliseconds())
                || isOlder(operator, options.operatorLateMilliseconds());
    }

    /** Tells whether the reads of a host that nobody asks are overdue, which are further apart. */
    boolean isLateAlone() {
        return isOlder(servers, options.serverLateAloneMilliseconds())
                || isOlder(operator, options.operatorLateAloneMilliseconds());
    }

    private static boolean isOlder(ChangeFollower<?> follower, long milliseconds) {
        return follower.isSynced() && follower.ageMilliseconds() > milliseconds;
    }

    /** Tells whether this host cannot read for itself now. */
    boolean isFailing() {
        return servers.isFailing() || operator.isFailing();
    }

    /** Returns for how long what another host told is fresh, in milliseconds from now. */
    long freshMilliseconds(FeedNews news) {
        return Math.min(
                options.serverLateMilliseconds() - news.ageMilliseconds(),
                options.operatorLateMilliseconds() - news.operatorAgeMilliseconds());
    }

    /** Logs what has become stale or fresh. */
    void log(String source) {
        if (servers.isSynced()) {
            serverLog.follow(servers.ageMilliseconds(), source);
        }
        if (operator.isSynced()) {
            operatorLog.follow(operator.ageMilliseconds(), source);
        }
    }
}
