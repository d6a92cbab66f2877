package org.siskinramp.health;

/** Keeps an exponentially weighted moving average. Not thread-safe. */
public final class MovingAverage {

    private final double weight;
    private double average;

    /**
     * Creates an average.
     *
     * @param initial the value before the first sample
     * @param weight the weight of a new sample, above 0 and at most 1
     */
    public MovingAverage(double initial, double weight) {
        this.average = initial;
        this.weight = weight;
    }

    /**
     * Adds a sample.
     *
     * @param sample the sample
     */
    public void add(double sample) {
        average += weight * (sample - average);
    }

    /**
     * Discards all samples and starts with this one.
     *
     * @param sample the sample
     */
    public void reset(double sample) {
        average = sample;
    }

    /**
     * Returns the average.
     *
     * @return the average of the samples so far
     */
    public double value() {
        return average;
    }
}
