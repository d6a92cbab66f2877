package org.siskinramp.ledger;

/**
 * Holds the time and size limits of tracking suspect requests.
 *
 * @param lifetimeMilliseconds how long a request remains suspect after the last crash, in
 *     milliseconds
 * @param completionProtectionMilliseconds for how long a completed run protects the same content
 *     from suspicion, in milliseconds
 * @param maximumRequests how many requests are tracked; the oldest are dropped first
 */
public record SuspicionOptions(
        long lifetimeMilliseconds, long completionProtectionMilliseconds, int maximumRequests) {

    /** The default options. */
    public static final SuspicionOptions DEFAULT = new SuspicionOptions(600_000, 10_000, 4_096);
}
