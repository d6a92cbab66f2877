package org.siskinramp.routing;

import org.siskinramp.warmth.WarmthOptions;

/**
 * Holds the times, counts and budgets of the routing.
 *
 * <pre>{@code
 * RoutingOptions options = RoutingOptions.builder().loanTermMilliseconds(50).build();
 * }</pre>
 */
public final class RoutingOptions {

    private final long loanTermMilliseconds;
    private final long loanPatienceMilliseconds;
    private final long loanAskTimeoutMilliseconds;
    private final int loanMessagesPerSecond;
    private final int slotsPerAsk;
    private final double retryShare;
    private final double hedgeShare;
    private final double hedgeQuantile;
    private final long lingerMilliseconds;
    private final long slotMarginMilliseconds;
    private final long probeIntervalMilliseconds;
    private final long suspectProbeIntervalMilliseconds;
    private final boolean slotsOwned;
    private final ServerChoice serverChoice;
    private final WarmthOptions warmth;

    private RoutingOptions(Builder builder) {
        loanTermMilliseconds = builder.loanTermMilliseconds;
        loanPatienceMilliseconds = builder.loanPatienceMilliseconds;
        loanAskTimeoutMilliseconds = builder.loanAskTimeoutMilliseconds;
        loanMessagesPerSecond = builder.loanMessagesPerSecond;
        slotsPerAsk = builder.slotsPerAsk;
        retryShare = builder.retryShare;
        hedgeShare = builder.hedgeShare;
        hedgeQuantile = builder.hedgeQuantile;
        lingerMilliseconds = builder.lingerMilliseconds;
        slotMarginMilliseconds = builder.slotMarginMilliseconds;
        probeIntervalMilliseconds = builder.probeIntervalMilliseconds;
        suspectProbeIntervalMilliseconds = builder.suspectProbeIntervalMilliseconds;
        slotsOwned = builder.slotsOwned;
        serverChoice = builder.serverChoice;
        warmth = builder.warmth;
    }

    /**
     * Starts with the defaults.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    long loanTermMilliseconds() {
        return loanTermMilliseconds;
    }

    long loanPatienceMilliseconds() {
        return loanPatienceMilliseconds;
    }

    long loanAskTimeoutMilliseconds() {
        return loanAskTimeoutMilliseconds;
    }

    /**
     * Returns how many loan messages one entry host may send.
     *
     * @return messages per second
     */
    public int loanMessagesPerSecond() {
        return loanMessagesPerSecond;
    }

    int slotsPerAsk() {
        return slotsPerAsk;
    }

    double retryShare() {
        return retryShare;
    }

    double hedgeShare() {
        return hedgeShare;
    }

    double hedgeQuantile() {
        return hedgeQuantile;
    }

    long lingerMilliseconds() {
        return lingerMilliseconds;
    }

    long slotMarginMilliseconds() {
        return slotMarginMilliseconds;
    }

    long probeIntervalMilliseconds() {
        return probeIntervalMilliseconds;
    }

    long suspectProbeIntervalMilliseconds() {
        return suspectProbeIntervalMilliseconds;
    }

    boolean areSlotsOwned() {
        return slotsOwned;
    }

    ServerChoice serverChoice() {
        return serverChoice;
    }

    WarmthOptions warmth() {
        return warmth;
    }

    /** Collects the options. */
    public static final class Builder {

        private long loanTermMilliseconds = 100;
        private long loanPatienceMilliseconds = 2;
        private long loanAskTimeoutMilliseconds = 20;
        private int loanMessagesPerSecond = 300;
        private int slotsPerAsk = 8;
        private double retryShare = 0.1;
        private double hedgeShare = 0.02;
        private double hedgeQuantile = 0.99;
        private long lingerMilliseconds = 10;
        private long slotMarginMilliseconds = 50;
        private long probeIntervalMilliseconds = 1_000;
        private long suspectProbeIntervalMilliseconds = 250;
        private boolean slotsOwned = true;
        private ServerChoice serverChoice = ServerChoice.lowestScore();
        private WarmthOptions warmth = WarmthOptions.DEFAULT;

        private Builder() {}

        /**
         * Sets how long a borrower may start requests in a lent slot, from when it asked.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder loanTermMilliseconds(long value) {
            loanTermMilliseconds = value;
            return this;
        }

        /**
         * Sets how long a request waits for a slot of its own host before another host is asked.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder loanPatienceMilliseconds(long value) {
            loanPatienceMilliseconds = value;
            return this;
        }

        /**
         * Sets how many loan messages one entry host may send.
         *
         * @param value messages per second; 0 switches borrowing off
         * @return this builder
         */
        public Builder loanMessagesPerSecond(int value) {
            loanMessagesPerSecond = value;
            return this;
        }

        /**
         * Sets how many slots one message may ask for.
         *
         * @param value one or more
         * @return this builder
         */
        public Builder slotsPerAsk(int value) {
            slotsPerAsk = value;
            return this;
        }

        /**
         * Sets how many retries there may be for each first attempt.
         *
         * @param value a share, from 0 to 1
         * @return this builder
         */
        public Builder retryShare(double value) {
            retryShare = value;
            return this;
        }

        /**
         * Sets how many hedged attempts there may be for each first attempt.
         *
         * @param value a share, from 0 to 1
         * @return this builder
         */
        public Builder hedgeShare(double value) {
            hedgeShare = value;
            return this;
        }

        /**
         * Decides whether each slot belongs to one host. Without that any host sends to any server,
         * as a baseline for measurements.
         *
         * @param value false for a baseline
         * @return this builder
         */
        public Builder slotsOwned(boolean value) {
            slotsOwned = value;
            return this;
        }

        /**
         * Sets how a server is chosen among those that may get a request.
         *
         * @param value the choice
         * @return this builder
         */
        public Builder serverChoice(ServerChoice value) {
            serverChoice = value;
            return this;
        }

        /**
         * Sets the times and counts of the cold start.
         *
         * @param value the options
         * @return this builder
         */
        public Builder warmth(WarmthOptions value) {
            warmth = value;
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
