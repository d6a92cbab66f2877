package org.siskinramp.routing;

import org.siskinramp.warmth.WarmUpOptions;

/**
 * Holds the options of the routing.
 *
 * <pre>{@code
 * RoutingOptions options = RoutingOptions.builder().loanTermMilliseconds(50).build();
 * }</pre>
 */
public final class RoutingOptions {

    private final long loanTermMilliseconds;
    private final long loanAskDelayMilliseconds;
    private final long loanAskTimeoutMilliseconds;
    private final int loanMessagesPerSecond;
    private final int slotsPerAsk;
    private final double retryRatio;
    private final double hedgeRatio;
    private final double hedgeQuantile;
    private final long lingerMilliseconds;
    private final long loanMarginMilliseconds;
    private final long probeIntervalMilliseconds;
    private final long unhealthyProbeIntervalMilliseconds;
    private final boolean slotsOwned;
    private final LoadBalancingPolicy loadBalancingPolicy;
    private final WarmUpOptions warmUp;

    private RoutingOptions(Builder builder) {
        loanTermMilliseconds = builder.loanTermMilliseconds;
        loanAskDelayMilliseconds = builder.loanAskDelayMilliseconds;
        loanAskTimeoutMilliseconds = builder.loanAskTimeoutMilliseconds;
        loanMessagesPerSecond = builder.loanMessagesPerSecond;
        slotsPerAsk = builder.slotsPerAsk;
        retryRatio = builder.retryRatio;
        hedgeRatio = builder.hedgeRatio;
        hedgeQuantile = builder.hedgeQuantile;
        lingerMilliseconds = builder.lingerMilliseconds;
        loanMarginMilliseconds = builder.loanMarginMilliseconds;
        probeIntervalMilliseconds = builder.probeIntervalMilliseconds;
        unhealthyProbeIntervalMilliseconds = builder.unhealthyProbeIntervalMilliseconds;
        slotsOwned = builder.slotsOwned;
        loadBalancingPolicy = builder.loadBalancingPolicy;
        warmUp = builder.warmUp;
    }

    /**
     * Creates a builder with the default options.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    long loanTermMilliseconds() {
        return loanTermMilliseconds;
    }

    long loanAskDelayMilliseconds() {
        return loanAskDelayMilliseconds;
    }

    /** Returns how long this host waits for the answer to a loan request before it asks again. */
    long loanAskTimeoutMilliseconds() {
        return loanAskTimeoutMilliseconds;
    }

    /**
     * Returns how many loan messages one entry host may send, over all services.
     *
     * @return messages per second
     */
    public int loanMessagesPerSecond() {
        return loanMessagesPerSecond;
    }

    int slotsPerAsk() {
        return slotsPerAsk;
    }

    double retryRatio() {
        return retryRatio;
    }

    double hedgeRatio() {
        return hedgeRatio;
    }

    /** Returns the quantile of the latencies after which an attempt is hedged. */
    double hedgeQuantile() {
        return hedgeQuantile;
    }

    /**
     * Returns how long a slot stays occupied after an attempt in it that may still run was given
     * up.
     */
    long lingerMilliseconds() {
        return lingerMilliseconds;
    }

    /**
     * Returns how long after the end of the loan term and the time limit of a request a lender
     * reuses a slot that was not returned.
     */
    long loanMarginMilliseconds() {
        return loanMarginMilliseconds;
    }

    long probeIntervalMilliseconds() {
        return probeIntervalMilliseconds;
    }

    /** Returns the probe interval for servers that are closed or whose last probe failed. */
    long unhealthyProbeIntervalMilliseconds() {
        return unhealthyProbeIntervalMilliseconds;
    }

    boolean areSlotsOwned() {
        return slotsOwned;
    }

    LoadBalancingPolicy loadBalancingPolicy() {
        return loadBalancingPolicy;
    }

    WarmUpOptions warmUp() {
        return warmUp;
    }

    /** Builds routing options. */
    public static final class Builder {

        private long loanTermMilliseconds = 100;
        private long loanAskDelayMilliseconds = 2;
        private long loanAskTimeoutMilliseconds = 20;
        private int loanMessagesPerSecond = 300;
        private int slotsPerAsk = 8;
        private double retryRatio = 0.1;
        private double hedgeRatio = 0.02;
        private double hedgeQuantile = 0.99;
        private long lingerMilliseconds = 10;
        private long loanMarginMilliseconds = 50;
        private long probeIntervalMilliseconds = 1_000;
        private long unhealthyProbeIntervalMilliseconds = 250;
        private boolean slotsOwned = true;
        private LoadBalancingPolicy loadBalancingPolicy = LoadBalancingPolicy.lowestScore();
        private WarmUpOptions warmUp = WarmUpOptions.DEFAULT;

        private Builder() {}

        /**
         * Sets how long a borrower may start requests in a lent slot, counted from when it asked
         * for the loan.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder loanTermMilliseconds(long value) {
            loanTermMilliseconds = value;
            return this;
        }

        /**
         * Sets how long a request waits for a slot of its own host before this host asks another
         * host for a loan.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder loanAskDelayMilliseconds(long value) {
            loanAskDelayMilliseconds = value;
            return this;
        }

        /**
         * Sets how many loan messages one entry host may send, over all services.
         *
         * @param value messages per second; 0 disables borrowing
         * @return this builder
         */
        public Builder loanMessagesPerSecond(int value) {
            loanMessagesPerSecond = value;
            return this;
        }

        /**
         * Sets how many slots one loan request may ask for at most.
         *
         * @param value one or more
         * @return this builder
         */
        public Builder slotsPerAsk(int value) {
            slotsPerAsk = value;
            return this;
        }

        /**
         * Sets the retry budget: how many retries are allowed for each request.
         *
         * @param value a ratio, from 0 to 1
         * @return this builder
         */
        public Builder retryRatio(double value) {
            retryRatio = value;
            return this;
        }

        /**
         * Sets the hedging budget: how many hedged attempts are allowed for each request.
         *
         * @param value a ratio, from 0 to 1
         * @return this builder
         */
        public Builder hedgeRatio(double value) {
            hedgeRatio = value;
            return this;
        }

        /**
         * Sets whether each slot is owned by one host. If not, any host sends any request to any
         * server without regard to slots; this is a baseline for measurements.
         *
         * @param value false for the baseline
         * @return this builder
         */
        public Builder slotsOwned(boolean value) {
            slotsOwned = value;
            return this;
        }

        /**
         * Sets how a server is chosen among those that may get a request.
         *
         * @param value the policy
         * @return this builder
         */
        public Builder loadBalancingPolicy(LoadBalancingPolicy value) {
            loadBalancingPolicy = value;
            return this;
        }

        /**
         * Sets the options of the warm-up of backend servers.
         *
         * @param value the options
         * @return this builder
         */
        public Builder warmUp(WarmUpOptions value) {
            warmUp = value;
            return this;
        }

        /**
         * Builds the options.
         *
         * @return the options
         */
        public RoutingOptions build() {
            return new RoutingOptions(this);
        }
    }
}
