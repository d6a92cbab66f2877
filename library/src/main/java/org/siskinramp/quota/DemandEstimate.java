package org.siskinramp.quota;

/** Estimates the recent rate of events. Not thread-safe; guarded by the lock of its owner. */
final class DemandEstimate {

    /** Follows a demand that multiplies at once, and still evens out single requests. */
    private static final double DECAY_MILLISECONDS = 500;

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private double decayedSum;
    private long updatedMilliseconds;

    void add(long amount, long now) {
        decayedSum = decayedSum(now) + (double) amount;
        updatedMilliseconds = now;
    }

    private double decayedSum(long now) {
        return decayedSum * Math.exp(-Math.max(0, now - updatedMilliseconds) / DECAY_MILLISECONDS);
    }

    double perSecond(long now) {
        return decayedSum(now) * MILLISECONDS_PER_SECOND / DECAY_MILLISECONDS;
    }
}
