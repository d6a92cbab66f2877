package org.siskinramp.fleet;

import java.util.EnumSet;
import java.util.Set;
import org.siskinramp.attempt.LoadReport;

/**
 * Keeps the rate limit that a server announces, and paces the requests of this host so that all
 * hosts together stay within it without exchanging messages. Each host sends at most one request in
 * each period, the time in which every host sends once. The first request after the announcement
 * waits for a random part of a period, since all hosts learn of the limit at about the same time.
 * Guarded by the lock of its owner.
 */
public final class AnnouncedRateLimit {

    /**
     * A server that accepts fewer requests is still tried this often, to detect the limit's end.
     */
    private static final double MINIMUM_REQUESTS_PER_SECOND = 0.1;

    /**
     * The share of the limit that is used. The rest is the margin for requests of many hosts that
     * happen to coincide.
     */
    private static final double USED_SHARE = 0.75;

    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Set<AnswerKind> announcing = EnumSet.noneOf(AnswerKind.class);
    private double requestsPerSecond = LoadReport.NO_RATE_LIMIT;
    private boolean silentInProbes;
    private long activeSince = NEVER;
    private long announcedAt = NEVER;
    private long waitingSince = NEVER;
    private double periodsToWait;

    AnnouncedRateLimit() {}

    /** The kinds of answers in which a server may announce its limit. */
    public enum AnswerKind {
        /** The answer to a request. */
        REQUEST,
        /** The answer to a probe. */
        PROBE
    }

    /**
     * Records that an answer announced a limit.
     *
     * @param limitPerSecond the requests per second that the server accepts from all hosts together
     * @param kind the kind of the answer
     * @param phase the part of a period after which the first request may be sent, from 0 to 1;
     *     ignored if a limit is active
     * @param now monotonic milliseconds
     * @return true if there was no limit before, or another one
     */
    public boolean announce(double limitPerSecond, AnswerKind kind, double phase, long now) {
        boolean changed = limitPerSecond != requestsPerSecond;
        if (!isActive()) {
            activeSince = now;
            waitingSince = now;
            periodsToWait = phase;
        }
        requestsPerSecond = limitPerSecond;
        announcedAt = now;
        announcing.add(kind);
        silentInProbes &= kind != AnswerKind.PROBE;
        return changed;
    }

    /**
     * Records that an answer announced no limit. This ends the limit if answers of this kind
     * announced it, and if the call was made after the last announcement, since answers may arrive
     * out of order.
     *
     * @param kind the kind of the answer
     * @param sentAt when the request or the probe was sent, in monotonic milliseconds
     * @return true if the limit ended
     */
    public boolean endIfWithdrawn(AnswerKind kind, long sentAt) {
        if (!isActive() || sentAt < announcedAt) {
            return false;
        }
        if (!announcing.contains(kind)) {
            silentInProbes |= kind == AnswerKind.PROBE;
            return false;
        }
        requestsPerSecond = LoadReport.NO_RATE_LIMIT;
        silentInProbes = false;
        announcing.clear();
        return true;
    }

    /**
     * Tells whether the server announces a limit.
     *
     * @return true from the first announcement until an answer ends it
     */
    public boolean isActive() {
        return requestsPerSecond < LoadReport.NO_RATE_LIMIT;
    }

    /**
     * Returns the rate at which this host may send requests.
     *
     * @param hostCount how many hosts share the limit
     * @return the requests per second of this host, infinite if there is no limit
     */
    public double hostRequestsPerSecond(int hostCount) {
        return USED_SHARE * Math.max(MINIMUM_REQUESTS_PER_SECOND, requestsPerSecond) / hostCount;
    }

    /**
     * Returns when this host may send its next request.
     *
     * @param hostCount how many hosts share the limit
     * @return monotonic milliseconds; a time in the past if there is no limit
     */
    public long nextSendAt(int hostCount) {
        if (!isActive()) {
            return NEVER;
        }
        double periodMilliseconds = MILLISECONDS_PER_SECOND / hostRequestsPerSecond(hostCount);
        return waitingSince + (long) Math.ceil(periodsToWait * periodMilliseconds);
    }

    /**
     * Records that this host sends a request.
     *
     * @param now monotonic milliseconds
     */
    public void recordSend(long now) {
        waitingSince = now;
        periodsToWait = 1;
    }

    /**
     * Tells whether a request that was placed on the server may still be sent. One that was placed
     * before the announcement has not waited for its turn.
     *
     * @param placedAt when it was placed, in monotonic milliseconds
     * @return false if the limit became active since
     */
    public boolean permitsRequestPlacedAt(long placedAt) {
        return !isActive() || placedAt >= activeSince;
    }

    /**
     * Tells whether a probe may detect the end of the limit.
     *
     * @return false if there is no limit, or if answers to probes do not announce it
     */
    public boolean mayEndInProbe() {
        return isActive() && !silentInProbes;
    }
}
