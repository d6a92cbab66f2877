package org.siskinramp.gateway;

import java.util.HashMap;
import java.util.Map;
import org.siskinramp.health.MovingAverage;

/**
 * Learns how many requests in flight serve most on a backend server of one service. Answers the
 * load at which all servers fill up: some slow all their work down when nearly full, so that the
 * last slot takes away more than it gives.
 *
 * <p>The times of requests that filled a server are compared with those that did not, kind by kind.
 */
final class ConcurrencyLimit {

    /** The share of the slots above which a server may slow down. */
    private static final double UNCROWDED_SHARE = 0.8;

    /** Samples of crowded requests before their times decide; fewer vary by the work itself. */
    private static final int SAMPLES_TO_DECIDE = 15;

    /**
     * How much longer work may take on a full server before its last slots take away more than they
     * give: with four slots in five used, five slots serve more until work takes 5 / 4 as long.
     */
    private static final double WORTHWHILE_RATIO = 1 / UNCROWDED_SHARE;

    private static final double SAMPLE_WEIGHT = 0.05;

    private final Map<String, MovingAverage> uncrowdedTimes = new HashMap<>();
    private final MovingAverage crowdedRatio = new MovingAverage(1, SAMPLE_WEIGHT);
    private int crowdedSamples;

    /** Returns the number of requests in flight up to which no server slows down. */
    static int uncrowded(int slots) {
        return Math.max(1, (int) Math.floor(slots * UNCROWDED_SHARE));
    }

    /** Returns the number of requests in flight that serves most. */
    int limit(int slots) {
        boolean slows =
                crowdedSamples >= SAMPLES_TO_DECIDE && crowdedRatio.value() > WORTHWHILE_RATIO;
        return slows ? uncrowded(slots) : slots;
    }

    /**
     * Takes the time of a request in.
     *
     * @param kind the kind of request, which decides how long its work usually takes
     * @param milliseconds how long it took
     * @param occupied how many requests the server had when it was sent, this one included
     * @param slots how many it runs at once
     */
    void add(String kind, long milliseconds, int occupied, int slots) {
        MovingAverage usual = uncrowdedTimes.get(kind);
        if (occupied <= uncrowded(slots)) {
            if (usual == null) {
                uncrowdedTimes.put(kind, new MovingAverage(milliseconds, SAMPLE_WEIGHT));
            } else {
                usual.add((double) milliseconds);
            }
        } else if (usual != null && usual.value() > 0 && occupied <= slots) {
            crowdedRatio.add(milliseconds / usual.value());
            crowdedSamples++;
        }
    }
}
