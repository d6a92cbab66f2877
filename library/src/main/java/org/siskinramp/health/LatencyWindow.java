package org.siskinramp.health;

import java.util.Arrays;

/** Keeps the latest latencies and computes their quantiles. Not thread-safe. */
public final class LatencyWindow {

    private static final int SAMPLES = 256;
    private static final int SAMPLES_BETWEEN_SORTS = 16;

    private final long[] samples = new long[SAMPLES];
    private long[] sorted = new long[0];
    private int count;
    private int sinceSort;

    /**
     * Records a latency.
     *
     * @param latencyMilliseconds the latency in milliseconds
     */
    public void add(long latencyMilliseconds) {
        samples[count % SAMPLES] = latencyMilliseconds;
        count++;
        sinceSort++;
        if (sinceSort >= SAMPLES_BETWEEN_SORTS || sorted.length == 0) {
            sorted = Arrays.copyOf(samples, Math.min(count, SAMPLES));
            Arrays.sort(sorted);
            sinceSort = 0;
        }
    }

    /**
     * Returns a quantile of the latest latencies.
     *
     * @param quantile from 0 to 1
     * @param fallbackMilliseconds the result while there are no samples, in milliseconds
     * @return the quantile in milliseconds
     */
    public long quantile(double quantile, long fallbackMilliseconds) {
        if (sorted.length == 0) {
            return fallbackMilliseconds;
        }
        return sorted[(int) Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))];
    }

    /**
     * Returns how many latencies were recorded so far.
     *
     * @return the number of samples
     */
    public int count() {
        return count;
    }
}
