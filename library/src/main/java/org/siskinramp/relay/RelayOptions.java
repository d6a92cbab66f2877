package org.siskinramp.relay;

import java.util.List;

/**
 * Options of the {@link FeedRelay}.
 *
 * @param serverStalenessLimitMilliseconds the staleness limit of the servers table: the greatest
 *     age of its last read before this host reads the store itself
 * @param operatorStalenessLimitMilliseconds the staleness limit of the operator table
 * @param firstStart whether all hosts start now for the first time, so that none has published its
 *     entry and no caller sends requests yet
 * @param seeds addresses of hosts to which a starting host subscribes while it cannot reach the
 *     store, as {@code ip:port}
 */
public record RelayOptions(
        long serverStalenessLimitMilliseconds,
        long operatorStalenessLimitMilliseconds,
        boolean firstStart,
        List<String> seeds) {

    /**
     * Copies the list so that the options cannot change.
     *
     * @param serverStalenessLimitMilliseconds the staleness limit of the servers table
     * @param operatorStalenessLimitMilliseconds the staleness limit of the operator table
     * @param firstStart whether all hosts start now for the first time
     * @param seeds addresses of hosts to which a starting host subscribes
     */
    public RelayOptions {
        seeds = List.copyOf(seeds);
    }

    /** Two reads fit into the staleness limit, so that a late one makes no other host read. */
    private static final double READ_INTERVAL_FRACTION = 0.67;

    /** A read is overdue at this age: after the next read of a reader, before the limit. */
    private static final double OVERDUE_FRACTION = 0.835;

    /** A host without subscribers reads once per staleness limit. */
    private static final double OVERDUE_FRACTION_WITHOUT_SUBSCRIBERS = 1.1;

    long serverOverdueMilliseconds() {
        return Math.round(OVERDUE_FRACTION * serverStalenessLimitMilliseconds);
    }

    long operatorOverdueMilliseconds() {
        return Math.round(OVERDUE_FRACTION * operatorStalenessLimitMilliseconds);
    }

    long serverOverdueWithoutSubscribersMilliseconds() {
        return Math.round(OVERDUE_FRACTION_WITHOUT_SUBSCRIBERS * serverStalenessLimitMilliseconds);
    }

    /**
     * Returns the interval between reads of the servers table by a host with subscribers.
     *
     * @return milliseconds
     */
    public long serverReadIntervalMilliseconds() {
        return Math.round(READ_INTERVAL_FRACTION * serverStalenessLimitMilliseconds);
    }

    /**
     * Returns how long a host with subscribers waits for a change of the operator table in one long
     * poll.
     *
     * @return milliseconds
     */
    public long operatorLongPollMilliseconds() {
        return Math.round(READ_INTERVAL_FRACTION * operatorStalenessLimitMilliseconds);
    }
}
