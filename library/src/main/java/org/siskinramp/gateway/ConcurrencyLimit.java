package org.siskinramp.gateway;

import java.util.HashMap;
import java.util.Map;
import org.siskinramp.health.MovingAverage;

/**
 * Learns how many requests in flight give the highest throughput on a backend server of one
 * service. Some servers slow down all their requests when nearly every slot is in use, so that the
 * last slots reduce the throughput.
 *
 * <p>For each kind of request, latencies measured above the knee (see {@link #kneeConcurrency}) are
 * compared with those measured up to it.
 */
final class ConcurrencyLimit {

    /** The share of the slots in use above which a server may slow down. */
    private static final double KNEE_SHARE = 0.8;

    /** Samples above the knee before the limit may drop; fewer vary too much between requests. */
    private static final int MINIMUM_SATURATED_SAMPLES = 15;

    /**
     * Latency ratio up to which using all slots pays off: five slots serve more requests than four
     * as long as each request takes less than 5 / 4 of its usual time.
     */
    private static final double MAXIMUM_WORTHWHILE_RATIO = 1 / KNEE_SHARE;

    private static final double SAMPLE_WEIGHT = 0.05;

    private final Map<String, MovingAverage> baselineMilliseconds = new HashMap<>();
    private final ResetLimit resetLimit;
    private final MovingAverage saturatedRatio = new MovingAverage(1, SAMPLE_WEIGHT);
    private int saturatedSamples;

    ConcurrencyLimit(ResetLimit resetLimit) {
        this.resetLimit = resetLimit;
    }

    /** Returns the knee: the number of requests in flight up to which servers do not slow down. */
    static int kneeConcurrency(int slots) {
        return Math.max(1, (int) Math.floor(slots * KNEE_SHARE));
    }

    /**
     * Returns the number of requests in flight that gives the highest throughput, without those at
     * which the servers reset connections.
     */
    int limit(int slots) {
        boolean lastSlotsCostMore =
                saturatedSamples >= MINIMUM_SATURATED_SAMPLES
                        && saturatedRatio.value() > MAXIMUM_WORTHWHILE_RATIO;
        int throughputLimit = lastSlotsCostMore ? kneeConcurrency(slots) : slots;
        return Math.min(throughputLimit, resetLimit.limit(slots));
    }

    /**
     * Records the latency of a request.
     *
     * @param kind the kind of request; kinds differ in their usual latency
     * @param latencyMilliseconds how long the request took
     * @param concurrency how many requests the server had when it was sent, this one included
     * @param slots how many requests the server runs concurrently
     */
    void recordLatency(String kind, long latencyMilliseconds, int concurrency, int slots) {
        resetLimit.recordCompletion();
        MovingAverage baseline = baselineMilliseconds.get(kind);
        if (concurrency <= kneeConcurrency(slots)) {
            if (baseline == null) {
                baselineMilliseconds.put(
                        kind, new MovingAverage(latencyMilliseconds, SAMPLE_WEIGHT));
            } else {
                baseline.add((double) latencyMilliseconds);
            }
        } else if (baseline != null && baseline.value() > 0 && concurrency <= slots) {
            saturatedRatio.add(latencyMilliseconds / baseline.value());
            saturatedSamples++;
        }
    }
}
