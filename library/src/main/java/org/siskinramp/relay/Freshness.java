package org.siskinramp.relay;

import org.siskinramp.follow.ChangeFollower;
import org.siskinramp.log.EventLog;
import org.siskinramp.peer.FeedNews;

/**
 * Judges how old the last reads of the servers and of the operator's table are, by this host or by
 * its source. It is guarded by the lock of its owner.
 */
final class Freshness {

    /** The age of a table that is not known yet, or whose changes come at once. */
    private static final long UNKNOWN = 0;

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
        return serversAge() > options.serverLateMilliseconds()
                || operatorAge() > options.operatorLateMilliseconds();
    }

    /** Tells whether the reads of a host that nobody asks are overdue, which are further apart. */
    boolean isLateAlone() {
        return serversAge() > options.serverLateAloneMilliseconds()
                || operatorAge() > options.operatorLateMilliseconds();
    }

    private long serversAge() {
        return servers.isSynced() ? servers.ageMilliseconds() : UNKNOWN;
    }

    /** A call of this host that waits brings a change at once, however old the last one is. */
    private long operatorAge() {
        boolean waits = !operator.isTold() && !operator.isFailing();
        return operator.isSynced() && !waits ? operator.ageMilliseconds() : UNKNOWN;
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
        serverLog.follow(serversAge(), source);
        operatorLog.follow(operatorAge(), source);
    }
}
