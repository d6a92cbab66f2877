package org.siskinramp.ticket;

/**
 * Says how often the configuration is read.
 *
 * @param pollMilliseconds how often, in milliseconds
 * @param longestPollMilliseconds how seldom at most while the platform fails, in milliseconds
 */
public record FollowerOptions(long pollMilliseconds, long longestPollMilliseconds) {

    /** Reads every second, and every two seconds while the platform fails. */
    public static final FollowerOptions DEFAULT = new FollowerOptions(1_000, 2_000);
}
