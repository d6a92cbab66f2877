package org.siskinramp.ledger;

/**
 * Bounds what is remembered of requests that stopped servers.
 *
 * @param lifetimeMilliseconds how long a suspicion lasts after the last stop, in milliseconds
 * @param recentEndMilliseconds for how long a run to its end protects the same content from
 *     suspicion, in milliseconds
 * @param limit how many requests are remembered, the oldest are forgotten first
 */
public record SuspicionOptions(long lifetimeMilliseconds, long recentEndMilliseconds, int limit) {

    /** The options used unless told otherwise. */
    public static final SuspicionOptions DEFAULT = new SuspicionOptions(600_000, 10_000, 4_096);
}
