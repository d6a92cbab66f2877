package org.siskinramp.ticket;

/**
 * Holds the intervals at which {@link ConfigurationFollower} polls for a newer configuration.
 *
 * @param pollIntervalMilliseconds the interval after a successful read, in milliseconds
 * @param failurePollIntervalMilliseconds the interval after a failed read, in milliseconds
 */
public record FollowerOptions(long pollIntervalMilliseconds, long failurePollIntervalMilliseconds) {

    /** Polls every second, and every two seconds while reads fail. */
    public static final FollowerOptions DEFAULT = new FollowerOptions(1_000, 2_000);
}
