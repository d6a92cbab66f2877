package org.siskinramp.quota;

/**
 * The bounds within which the requests of a workspace must stay, over all hosts: in any window,
 * (rate x window + burst) x (1 + tolerance) + slack.
 *
 * @param windowMilliseconds the length of the windows
 * @param tolerance the fraction by which the quota may be exceeded
 * @param slackRequests how many more requests are tolerated; left to requests that are sent later
 *     than they were admitted
 */
public record QuotaOptions(long windowMilliseconds, double tolerance, double slackRequests) {

    /** The part of the tolerance that the age of tokens uses up; late requests need the rest. */
    private static final double AGE_FRACTION = 0.8;

    /**
     * Returns by how much the age of tokens may exceed the time in which a burst is minted. Within
     * a window, at most the tokens minted in it and those minted up to their age before are used.
     *
     * @return milliseconds
     */
    long toleratedAgeMilliseconds() {
        return Math.round(AGE_FRACTION * tolerance * windowMilliseconds);
    }
}
