package org.siskinramp.daemon.exchange;

/** Limits of HTTP exchanges. */
public final class ExchangeOptions {

    private final long connectTimeoutMilliseconds;
    private final long idleTimeoutMilliseconds;
    private final int answerLimitBytes;
    private final long totalAnswerLimitBytes;
    private final int headerLimitBytes;
    private final int threads;

    private ExchangeOptions(Builder builder) {
        connectTimeoutMilliseconds = builder.connectTimeoutMilliseconds;
        idleTimeoutMilliseconds = builder.idleTimeoutMilliseconds;
        answerLimitBytes = builder.answerLimitBytes;
        totalAnswerLimitBytes = builder.totalAnswerLimitBytes;
        headerLimitBytes = builder.headerLimitBytes;
        threads = builder.threads;
    }

    /**
     * Returns a builder with the default limits.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    long connectTimeoutMilliseconds() {
        return connectTimeoutMilliseconds;
    }

    long idleTimeoutMilliseconds() {
        return idleTimeoutMilliseconds;
    }

    long totalAnswerLimitBytes() {
        return totalAnswerLimitBytes;
    }

    int answerLimitBytes() {
        return answerLimitBytes;
    }

    int headerLimitBytes() {
        return headerLimitBytes;
    }

    int threads() {
        return threads;
    }

    /** Collects the limits. */
    public static final class Builder {

        private long connectTimeoutMilliseconds = 500;
        private long idleTimeoutMilliseconds = 5000;
        private int answerLimitBytes = 4 * 1024 * 1024;
        private long totalAnswerLimitBytes = 64L * 1024 * 1024;
        private int headerLimitBytes = 32 * 1024;
        private int threads = 24;

        private Builder() {}

        /**
         * Sets how long opening a connection may take.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder connectTimeoutMilliseconds(long value) {
            connectTimeoutMilliseconds = value;
            return this;
        }

        /**
         * Sets the idle time after which a connection is closed.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder idleTimeoutMilliseconds(long value) {
            idleTimeoutMilliseconds = value;
            return this;
        }

        /**
         * Sets the maximum size of an answer's body.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder answerLimitBytes(int value) {
            answerLimitBytes = value;
            return this;
        }

        /**
         * Sets the maximum total size of the bodies of all answers that are being read.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder totalAnswerLimitBytes(long value) {
            totalAnswerLimitBytes = value;
            return this;
        }

        /**
         * Sets the maximum size of the headers, of requests and of answers.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder headerLimitBytes(int value) {
            headerLimitBytes = value;
            return this;
        }

        /**
         * Sets the maximum number of threads.
         *
         * @param value threads, 8 or more
         * @return this builder
         */
        public Builder threads(int value) {
            threads = value;
            return this;
        }

        /**
         * Builds the limits.
         *
         * @return the limits
         */
        public ExchangeOptions build() {
            return new ExchangeOptions(this);
        }
    }
}
