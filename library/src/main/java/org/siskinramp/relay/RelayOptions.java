package org.siskinramp.relay;

import java.util.List;

/**
 * Holds how old a sight of the platform's tables may be.
 *
 * @param serverSpanMilliseconds the greatest age of a read of the backend servers before this host
 *     reads for itself
 * @param operatorSpanMilliseconds the same for the operator's table
 * @param firstStart whether all hosts start now for the first time, so that none is published yet
 *     and no caller is there
 * @param seeds addresses of hosts that a starting host asks while it cannot reach the store
 */
public record RelayOptions(
        long serverSpanMilliseconds,
        long operatorSpanMilliseconds,
        boolean firstStart,
        List<String> seeds) {

    /**
     * Copies the list so that the options cannot change.
     *
     * @param serverSpanMilliseconds the greatest age of a read of the backend servers
     * @param operatorSpanMilliseconds the same for the operator's table
     * @param firstStart whether all hosts start now for the first time
     * @param seeds addresses of hosts to ask
     */
    public RelayOptions {
        seeds = List.copyOf(seeds);
    }

    /** Two reads fit into a span, so that one that comes late makes no other host read. */
    private static final double READ_PART = 0.67;

    /** Between the time of the next read and the end of a span. */
    private static final double LATE_PART = 0.835;

    /** A host that nobody asks reads once in a span. */
    private static final double LATE_PART_ALONE = 1.1;

    long serverLateMilliseconds() {
        return Math.round(LATE_PART * serverSpanMilliseconds);
    }

    long operatorLateMilliseconds() {
        return Math.round(LATE_PART * operatorSpanMilliseconds);
    }

    long serverLateAloneMilliseconds() {
        return Math.round(LATE_PART_ALONE * serverSpanMilliseconds);
    }

    /**
     * Returns how often a host that tells others reads the backend servers.
     *
     * @return milliseconds
     */
    public long serverReadMilliseconds() {
        return Math.round(READ_PART * serverSpanMilliseconds);
    }

    /**
     * Returns how long a host that tells others waits for a change by the operator in one call.
     *
     * @return milliseconds
     */
    public long operatorReadMilliseconds() {
        return Math.round(READ_PART * operatorSpanMilliseconds);
    }
}
