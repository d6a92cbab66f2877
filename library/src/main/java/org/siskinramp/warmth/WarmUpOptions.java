package org.siskinramp.warmth;

/**
 * Holds the settings of the warm-up of backend servers.
 *
 * @param answersPerStep how many successful answers it takes to make one more slot usable
 * @param stepMilliseconds the least time between two steps, in milliseconds
 * @param coldStartPauseMilliseconds how long a server gets no new requests after it was found cold,
 *     in milliseconds
 * @param allowanceLifetimeMilliseconds how long an allowance update from the coordinator is valid,
 *     in milliseconds
 * @param slowLatencyFactor how many times the average latency makes an answer a slow one
 * @param slowAnswersInARow how many slow answers in a row mean that a warm server turned cold
 */
public record WarmUpOptions(
        int answersPerStep,
        long stepMilliseconds,
        long coldStartPauseMilliseconds,
        long allowanceLifetimeMilliseconds,
        double slowLatencyFactor,
        int slowAnswersInARow) {

    /** The default options. */
    public static final WarmUpOptions DEFAULT = new WarmUpOptions(20, 200, 50, 2_000, 4.0, 3);
}
