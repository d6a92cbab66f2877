package org.siskinramp.warmth;

/**
 * Holds the times and counts of the cold start.
 *
 * @param answersPerStep how many answers in time it takes to make one more slot usable
 * @param stepMilliseconds the least time between two steps, in milliseconds
 * @param settleMilliseconds how long a server gets no new work after it was found cold
 * @param wordLifetimeMilliseconds how long the judge's word counts
 * @param slowFactor how many times its usual latency makes an answer a slow one
 * @param slowAnswersInARow how many slow answers in a row mean that a warm server turned cold
 */
public record WarmthOptions(
        int answersPerStep,
        long stepMilliseconds,
        long settleMilliseconds,
        long wordLifetimeMilliseconds,
        double slowFactor,
        int slowAnswersInARow) {

    /** The options used unless told otherwise. */
    public static final WarmthOptions DEFAULT = new WarmthOptions(20, 200, 50, 2_000, 4.0, 3);
}
