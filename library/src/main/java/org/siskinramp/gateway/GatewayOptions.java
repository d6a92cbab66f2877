package org.siskinramp.gateway;

/**
 * Limits and budgets of a gateway.
 *
 * <pre>{@code
 * GatewayOptions options = GatewayOptions.builder().retryRatio(0.15).build();
 * }</pre>
 */
public final class GatewayOptions {

    private final int probeCandidates;
    private final long crossZonePatienceMilliseconds;
    private final double retryRatio;
    private final int retrySlack;
    private final long retryWindowMilliseconds;

    private GatewayOptions(Builder builder) {
        probeCandidates = builder.probeCandidates;
        crossZonePatienceMilliseconds = builder.crossZonePatienceMilliseconds;
        retryRatio = builder.retryRatio;
        retrySlack = builder.retrySlack;
        retryWindowMilliseconds = builder.retryWindowMilliseconds;
    }

    /**
     * Returns a builder with the default options.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    int probeCandidates() {
        return probeCandidates;
    }

    long crossZonePatienceMilliseconds() {
        return crossZonePatienceMilliseconds;
    }

    double retryRatio() {
        return retryRatio;
    }

    int retrySlack() {
        return retrySlack;
    }

    long retryWindowMilliseconds() {
        return retryWindowMilliseconds;
    }

    /** Builder of {@link GatewayOptions}. */
    public static final class Builder {

        // Two probed servers usually include a free one; the third covers the case that it is slow.
        private int probeCandidates = 3;
        // Cross-zone traffic has a cost; unless the zone is full, a slot of the host's own zone
        // becomes free within this time.
        private long crossZonePatienceMilliseconds = 15;
        private double retryRatio = 0.1;
        private int retrySlack = 20;
        private long retryWindowMilliseconds = 10_000;

        private Builder() {}

        /**
         * Sets how many backend servers are probed for their load before a request is placed.
         *
         * @param value the number of servers, one or more
         * @return this builder
         */
        public Builder probeCandidates(int value) {
            probeCandidates = value;
            return this;
        }

        /**
         * Sets how long a request waits for a backend server in the host's own availability zone
         * before servers of other zones are included.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder crossZonePatienceMilliseconds(long value) {
            crossZonePatienceMilliseconds = value;
            return this;
        }

        /**
         * Sets the maximum ratio of retries to requests.
         *
         * @param value the ratio, from 0 to 1
         * @return this builder
         */
        public Builder retryRatio(double value) {
            retryRatio = value;
            return this;
        }

        /**
         * Sets how many retries all hosts together may send in a window in addition to the ratio.
         *
         * @param value the number of retries
         * @return this builder
         */
        public Builder retrySlack(int value) {
            retrySlack = value;
            return this;
        }

        /**
         * Sets the length of the window in which retries are counted.
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
