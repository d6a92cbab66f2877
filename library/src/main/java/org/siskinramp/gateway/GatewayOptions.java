package org.siskinramp.gateway;

/**
 * Holds the times, counts and budgets of a gateway.
 *
 * <pre>{@code
 * GatewayOptions options = GatewayOptions.builder().retryShare(0.15).build();
 * }</pre>
 */
public final class GatewayOptions {

    private final int candidates;
    private final long crossZonePatienceMilliseconds;
    private final double retryShare;
    private final int retrySlack;
    private final long retryWindowMilliseconds;

    private GatewayOptions(Builder builder) {
        candidates = builder.candidates;
        crossZonePatienceMilliseconds = builder.crossZonePatienceMilliseconds;
        retryShare = builder.retryShare;
        retrySlack = builder.retrySlack;
        retryWindowMilliseconds = builder.retryWindowMilliseconds;
    }

    /**
     * Starts with the defaults.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    int candidates() {
        return candidates;
    }

    long crossZonePatienceMilliseconds() {
        return crossZonePatienceMilliseconds;
    }

    double retryShare() {
        return retryShare;
    }

    int retrySlack() {
        return retrySlack;
    }

    long retryWindowMilliseconds() {
        return retryWindowMilliseconds;
    }

    /** Collects the options. */
    public static final class Builder {

        // Two fresh candidates find most free servers; the third covers one that is slow.
        private int candidates = 3;
        // A cross-zone request costs bytes; a slot of the own zone is free again within this time
        // unless the zone is full.
        private long crossZonePatienceMilliseconds = 15;
        private double retryShare = 0.1;
        private int retrySlack = 20;
        private long retryWindowMilliseconds = 10_000;

        private Builder() {}

        /**
         * Sets how many backend servers are asked for their load before a request is placed.
         *
         * @param value servers, one or more
         * @return this builder
         */
        public Builder candidates(int value) {
            candidates = value;
            return this;
        }

        /**
         * Sets how long a request waits for a backend server of its own availability zone before
         * others are asked.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder crossZonePatienceMilliseconds(long value) {
            crossZonePatienceMilliseconds = value;
            return this;
        }

        /**
         * Sets how many repeats there may be for each request.
         *
         * @param value a share, from 0 to 1
         * @return this builder
         */
        public Builder retryShare(double value) {
            retryShare = value;
            return this;
        }

        /**
         * Sets how many repeats all hosts together may send in a window beyond the share.
         *
         * @param value repeats
         * @return this builder
         */
        public Builder retrySlack(int value) {
            retrySlack = value;
            return this;
        }

        /**
         * Sets the length of the window in which repeats are counted.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder retryWindowMilliseconds(long value) {
            retryWindowMilliseconds = value;
            return this;
        }

        /**
         * Builds the options.
         *
         * @return the options
         */
        public GatewayOptions build() {
            return new GatewayOptions(this);
        }
    }
}
