package org.siskinramp.ledger;

/**
 * Holds the options of the claim ledger: group sizes, delays, time limits and rates.
 *
 * <pre>{@code
 * LedgerOptions options = LedgerOptions.builder().transactionsPerSecond(300).build();
 * }</pre>
 */
public final class LedgerOptions {

    private final int maximumGroupSize;
    private final long groupDelayMilliseconds;
    private final long settlementDelayMilliseconds;
    private final int transactionsPerSecond;
    private final int transactionBurst;
    private final long claimTimeLimitMilliseconds;
    private final long callTimeLimitMilliseconds;
    private final long clockMarginMilliseconds;
    private final int circuitBreakerFailureLimit;
    private final long circuitBreakerTrialIntervalMilliseconds;
    private final int unsettledClaimLimit;
    private final int maximumRowAnswerBytes;

    private LedgerOptions(Builder builder) {
        maximumGroupSize = builder.maximumGroupSize;
        groupDelayMilliseconds = builder.groupDelayMilliseconds;
        settlementDelayMilliseconds = builder.settlementDelayMilliseconds;
        transactionsPerSecond = builder.transactionsPerSecond;
        transactionBurst = builder.transactionBurst;
        claimTimeLimitMilliseconds = builder.claimTimeLimitMilliseconds;
        callTimeLimitMilliseconds = builder.callTimeLimitMilliseconds;
        clockMarginMilliseconds = builder.clockMarginMilliseconds;
        circuitBreakerFailureLimit = builder.circuitBreakerFailureLimit;
        circuitBreakerTrialIntervalMilliseconds = builder.circuitBreakerTrialIntervalMilliseconds;
        unsettledClaimLimit = builder.unsettledClaimLimit;
        maximumRowAnswerBytes = builder.maximumRowAnswerBytes;
    }

    /**
     * Starts to build options.
     *
     * @return a builder with the default values
     */
    public static Builder builder() {
        return new Builder();
    }

    int maximumGroupSize() {
        return maximumGroupSize;
    }

    long groupDelayMilliseconds() {
        return groupDelayMilliseconds;
    }

    long settlementDelayMilliseconds() {
        return settlementDelayMilliseconds;
    }

    int transactionsPerSecond() {
        return transactionsPerSecond;
    }

    int transactionBurst() {
        return transactionBurst;
    }

    long claimTimeLimitMilliseconds() {
        return claimTimeLimitMilliseconds;
    }

    long callTimeLimitMilliseconds() {
        return callTimeLimitMilliseconds;
    }

    long clockMarginMilliseconds() {
        return clockMarginMilliseconds;
    }

    int circuitBreakerFailureLimit() {
        return circuitBreakerFailureLimit;
    }

    long circuitBreakerTrialIntervalMilliseconds() {
        return circuitBreakerTrialIntervalMilliseconds;
    }

    int unsettledClaimLimit() {
        return unsettledClaimLimit;
    }

    int maximumRowAnswerBytes() {
        return maximumRowAnswerBytes;
    }

    /** Builds options. */
    public static final class Builder {

        private int maximumGroupSize = 50;
        private long groupDelayMilliseconds = 3;
        private long settlementDelayMilliseconds = 100;
        private int transactionsPerSecond = 300;
        private int transactionBurst = 10;
        private long claimTimeLimitMilliseconds = 1_000;
        private long callTimeLimitMilliseconds = 500;
        private long clockMarginMilliseconds = 5_000;
        private int circuitBreakerFailureLimit = 3;
        private long circuitBreakerTrialIntervalMilliseconds = 500;
        private int unsettledClaimLimit = 5_000;
        private int maximumRowAnswerBytes = 32 * 1024;

        private Builder() {}

        /**
         * Sets the maximum number of claims, or of settlements, in one transaction.
         *
         * @param value one to 500
         * @return this builder
         */
        public Builder maximumGroupSize(int value) {
            maximumGroupSize = value;
            return this;
        }

        /**
         * Sets how long a claim waits for other claims to be committed in the same transaction.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder groupDelayMilliseconds(long value) {
            groupDelayMilliseconds = value;
            return this;
        }

        /**
         * Sets how long a settlement waits for others to be committed in the same transaction.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder settlementDelayMilliseconds(long value) {
            settlementDelayMilliseconds = value;
            return this;
        }

        /**
         * Sets the rate limit of transactions for all entry hosts together. Each host may use an
         * equal share.
         *
         * @param value the number of transactions per second, one or more
         * @return this builder
         */
        public Builder transactionsPerSecond(int value) {
            transactionsPerSecond = value;
            return this;
        }

        /**
         * Sets the burst size of the rate limit: how many transactions may start at once after an
         * idle period.
         *
         * @param value one or more
         * @return this builder
         */
        public Builder transactionBurst(int value) {
            transactionBurst = value;
            return this;
        }

        /**
         * Sets how long a claim may remain unconfirmed before its request is refused.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder claimTimeLimitMilliseconds(long value) {
            claimTimeLimitMilliseconds = value;
            return this;
        }

        /**
         * Sets the time limit of a call to the platform.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder callTimeLimitMilliseconds(long value) {
            callTimeLimitMilliseconds = value;
            return this;
        }

        /**
         * Sets the clock margin: by how much the calendar clocks of entry hosts may differ.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder clockMarginMilliseconds(long value) {
            clockMarginMilliseconds = value;
            return this;
        }

        /**
         * Sets after how many consecutive failed calls to the platform the circuit breaker opens,
         * so that claims are refused at once.
         *
         * @param value one or more
         * @return this builder
         */
        public Builder circuitBreakerFailureLimit(int value) {
            circuitBreakerFailureLimit = value;
            return this;
        }

        /**
         * Sets how often the open circuit breaker lets one claim call the platform as a trial.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder circuitBreakerTrialIntervalMilliseconds(long value) {
            circuitBreakerTrialIntervalMilliseconds = value;
            return this;
        }

        /**
         * Sets the maximum number of claims of this host that are not durably settled.
         *
         * @param value one or more
         * @return this builder
         */
        public Builder unsettledClaimLimit(int value) {
            unsettledClaimLimit = value;
            return this;
        }

        /**
         * Sets the maximum size of an answer body that is stored in the claim row. Larger bodies
         * are stored in the object store.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder maximumRowAnswerBytes(int value) {
            maximumRowAnswerBytes = value;
            return this;
        }

        /**
         * Builds the options.
         *
         * @return the options
         */
        public LedgerOptions build() {
            return new LedgerOptions(this);
        }
    }
}
