package org.siskinramp.daemon.caller;

/** Holds the address and the limits of the caller side. */
public final class CallerServerOptions {

    private final String host;
    private final int port;
    private final int headerLimitBytes;
    private final int bodyLimitBytes;
    private final long bodyTimeLimitMilliseconds;
    private final long bodiesLimitBytes;
    private final long idleTimeoutMilliseconds;
    private final int requestLimit;
    private final long defaultDeadlineMilliseconds;
    private final long stopLimitMilliseconds;
    private final int threads;

    private CallerServerOptions(Builder builder) {
        host = builder.host;
        port = builder.port;
        headerLimitBytes = builder.headerLimitBytes;
        bodyLimitBytes = builder.bodyLimitBytes;
        bodyTimeLimitMilliseconds = builder.bodyTimeLimitMilliseconds;
        bodiesLimitBytes = builder.bodiesLimitBytes;
        idleTimeoutMilliseconds = builder.idleTimeoutMilliseconds;
        requestLimit = builder.requestLimit;
        defaultDeadlineMilliseconds = builder.defaultDeadlineMilliseconds;
        stopLimitMilliseconds = builder.stopLimitMilliseconds;
        threads = builder.threads;
    }

    /**
     * Starts with limits that suit most uses.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    String host() {
        return host;
    }

    int port() {
        return port;
    }

    int headerLimitBytes() {
        return headerLimitBytes;
    }

    int bodyLimitBytes() {
        return bodyLimitBytes;
    }

    long bodyTimeLimitMilliseconds() {
        return bodyTimeLimitMilliseconds;
    }

    long bodiesLimitBytes() {
        return bodiesLimitBytes;
    }

    long idleTimeoutMilliseconds() {
        return idleTimeoutMilliseconds;
    }

    int requestLimit() {
        return requestLimit;
    }

    long defaultDeadlineMilliseconds() {
        return defaultDeadlineMilliseconds;
    }

    long stopLimitMilliseconds() {
        return stopLimitMilliseconds;
    }

    int threads() {
        return threads;
    }

    /** Collects the address and the limits. */
    public static final class Builder {

        private String host = "127.0.0.1";
        private int port;
        private int headerLimitBytes = 16 * 1024;
        private int bodyLimitBytes = 1024 * 1024;
        private long bodyTimeLimitMilliseconds = 10_000;
        private long bodiesLimitBytes = 64L * 1024 * 1024;
        private long idleTimeoutMilliseconds = 30_000;
        private int requestLimit = 2000;
        private long defaultDeadlineMilliseconds = 5000;
        private long stopLimitMilliseconds = 30_000;
        private int threads = 32;

        private Builder() {}

        /**
         * Sets how long a body may take to arrive. The limit is checked when a part arrives.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder bodyTimeLimitMilliseconds(long value) {
            bodyTimeLimitMilliseconds = value;
            return this;
        }

        /**
         * Sets how much the bodies of all open requests may hold together.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder bodiesLimitBytes(long value) {
            bodiesLimitBytes = value;
            return this;
        }

        /**
         * Sets the IP number to listen on.
         *
         * @param value the IP number
         * @return this builder
         */
        public Builder host(String value) {
            host = value;
            return this;
        }

        /**
         * Sets the port to listen on.
         *
         * @param value the port, or 0 for any free one
         * @return this builder
         */
        public Builder port(int value) {
            port = value;
            return this;
        }

        /**
         * Sets the greatest size of the headers of a request.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder headerLimitBytes(int value) {
            headerLimitBytes = value;
            return this;
        }

        /**
         * Sets the greatest size of the body of a request.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder bodyLimitBytes(int value) {
            bodyLimitBytes = value;
            return this;
        }

        /**
         * Sets how long a connection may be silent, also in the middle of a request.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder idleTimeoutMilliseconds(long value) {
            idleTimeoutMilliseconds = value;
            return this;
        }

        /**
         * Sets how many requests may be open; more are refused at once.
         *
         * @param value requests
         * @return this builder
         */
        public Builder requestLimit(int value) {
            requestLimit = value;
            return this;
        }

        /**
         * Sets the deadline of requests that name none.
         *
         * @param value milliseconds from the arrival
         * @return this builder
         */
        public Builder defaultDeadlineMilliseconds(long value) {
            defaultDeadlineMilliseconds = value;
            return this;
        }

        /**
         * Sets how long a stop waits for requests in progress.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder stopLimitMilliseconds(long value) {
            stopLimitMilliseconds = value;
            return this;
        }

        /**
         * Sets the greatest number of threads.
         *
         * @param value threads, 8 or more
         * @return this builder
         */
        public Builder threads(int value) {
            threads = value;
            return this;
        }

        /**
         * Builds the options.
         *
         * @return the options
         */
        public CallerServerOptions build() {
            return new CallerServerOptions(this);
        }
    }
}
