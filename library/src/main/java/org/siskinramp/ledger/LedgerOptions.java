package org.siskinramp.ledger;

/**
 * Bounds what the claim ledger does.
 *
 * <pre>{@code
 * LedgerOptions options = LedgerOptions.builder().transactionsPerSecond(300).build();
 * }</pre>
 */
public final class LedgerOptions {

    private final int groupSize;
    private final long groupDelayMilliseconds;
    private final long outcomeDelayMilliseconds;
    private final int transactionsPerSecond;
    private final int transactionBurst;
    private final long claimLimitMilliseconds;
    private final long callLimitMilliseconds;
    private final long clockMarginMilliseconds;
    private final int circuitFailures;
    private final long circuitIntervalMilliseconds;
    private final int openClaimLimit;
    private final int rowAnswerBytes;

    private LedgerOptions(Builder builder) {
        groupSize = builder.groupSize;
        groupDelayMilliseconds = builder.groupDelayMilliseconds;
        outcomeDelayMilliseconds = builder.outcomeDelayMilliseconds;
        transactionsPerSecond = builder.transactionsPerSecond;
        transactionBurst = builder.transactionBurst;
        claimLimitMilliseconds = builder.claimLimitMilliseconds;
        callLimitMilliseconds = builder.callLimitMilliseconds;
        clockMarginMilliseconds = builder.clockMarginMilliseconds;
        circuitFailures = builder.circuitFailures;
        circuitIntervalMilliseconds = builder.circuitIntervalMilliseconds;
        openClaimLimit = builder.openClaimLimit;
        rowAnswerBytes = builder.rowAnswerBytes;
    }

    /**
     * Starts with the defaults.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    int groupSize() {
        return groupSize;
    }

    long groupDelayMilliseconds() {
        return groupDelayMilliseconds;
    }

    long outcomeDelayMilliseconds() {
        return outcomeDelayMilliseconds;
    }

    int transactionsPerSecond() {
        return transactionsPerSecond;
    }

    int transactionBurst() {
        return transactionBurst;
    }

    long claimLimitMilliseconds() {
        return claimLimitMilliseconds;
    }

    long callLimitMilliseconds() {
        return callLimitMilliseconds;
    }

    long clockMarginMilliseconds() {
        return clockMarginMilliseconds;
    }

    int circuitFailures() {
        return circuitFailures;
    }

    long circuitIntervalMilliseconds() {
        return circuitIntervalMilliseconds;
    }

    int openClaimLimit() {
        return openClaimLimit;
    }

    int rowAnswerBytes() {
        return rowAnswerBytes;
    }

    /** Collects the options. */
    public static final class Builder {

        private int groupSize = 50;
        private long groupDelayMilliseconds = 3;
        private long outcomeDelayMilliseconds = 100;
        private int transactionsPerSecond = 300;
        private int transactionBurst = 10;
        private long claimLimitMilliseconds = 1_000;
        private long callLimitMilliseconds = 500;
        private long clockMarginMilliseconds = 5_000;
        private int circuitFailures = 3;
        private long circuitIntervalMilliseconds = 500;
        private int openClaimLimit = 5_000;
        private int rowAnswerBytes = 32 * 1024;

        private Builder() {}

        /**
         * Sets how many claims or outcomes one transaction holds at most.
         *
         * @param value one to 500
         * @return this builder
         */
        public Builder groupSize(int value) {
            groupSize = value;
            return this;
        }

        /**
         * Sets how long a claim waits for others to share its transaction.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder groupDelayMilliseconds(long value) {
            groupDelayMilliseconds = value;
            return this;
        }

        /**
         * Sets how long an outcome waits for others to share its transaction.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder outcomeDelayMilliseconds(long value) {
            outcomeDelayMilliseconds = value;
            return this;
        }

        /**
         * Sets how many transactions all entry hosts together start a second at most. Each host
         * takes an equal share.
         *
         * @param value one or more
         * @return this builder
         */
        public Builder transactionsPerSecond(int value) {
            transactionsPerSecond = value;
            return this;
        }

        /**
         * Sets how many transactions may start at once after a pause.
         *
         * @param value one or more
         * @return this builder
         */
        public Builder transactionBurst(int value) {
            transactionBurst = value;
            return this;
        }

        /**
         * Sets how long a claim may stay unconfirmed before its request is refused.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder claimLimitMilliseconds(long value) {
            claimLimitMilliseconds = value;
            return this;
        }

        /**
         * Sets how long one call to the platform may take.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder callLimitMilliseconds(long value) {
            callLimitMilliseconds = value;
            return this;
        }

        /**
         * Sets by how much the calendar clocks of entry hosts may differ.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder clockMarginMilliseconds(long value) {
            clockMarginMilliseconds = value;
            return this;
        }

        /**
         * Sets after how many failures in a row claims are refused at once.
         *
         * @param value one or more
         * @return this builder
         */
        public Builder circuitFailures(int value) {
            circuitFailures = value;
            return this;
        }

        /**
         * Sets how often one claim tries the platform while claims are refused at once.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder circuitIntervalMilliseconds(long value) {
            circuitIntervalMilliseconds = value;
            return this;
        }

        /**
         * Sets how many claims may be open or unsettled on this host.
         *
         * @param value one or more
         * @return this builder
         */
        public Builder openClaimLimit(int value) {
            openClaimLimit = value;
            return this;
        }

        /**
         * Sets up to which size the body of an answer is kept in the row; larger ones go to the
         * object store.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder rowAnswerBytes(int value) {
            rowAnswerBytes = value;
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
