package org.siskinramp.daemon.caller;

/** Holds the address and the limits of a {@link CallerServer}. */
public final class CallerServerOptions {

    private final String host;
    private final int port;
    private final int headerLimitBytes;
    private final int bodyLimitBytes;
    private final long bodyTimeLimitMilliseconds;
    private final long totalBodyLimitBytes;
    private final long idleTimeoutMilliseconds;
    private final int concurrentRequestLimit;
    private final long defaultDeadlineMilliseconds;
    private final long drainTimeoutMilliseconds;
    private final int threads;

    private CallerServerOptions(Builder builder) {
        host = builder.host;
        port = builder.port;
        headerLimitBytes = builder.headerLimitBytes;
        bodyLimitBytes = builder.bodyLimitBytes;
        bodyTimeLimitMilliseconds = builder.bodyTimeLimitMilliseconds;
        totalBodyLimitBytes = builder.totalBodyLimitBytes;
        idleTimeoutMilliseconds = builder.idleTimeoutMilliseconds;
        concurrentRequestLimit = builder.concurrentRequestLimit;
        defaultDeadlineMilliseconds = builder.defaultDeadlineMilliseconds;
        drainTimeoutMilliseconds = builder.drainTimeoutMilliseconds;
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

    long totalBodyLimitBytes() {
        return totalBodyLimitBytes;
    }

    long idleTimeoutMilliseconds() {
        return idleTimeoutMilliseconds;
    }

    int concurrentRequestLimit() {
        return concurrentRequestLimit;
    }

    long defaultDeadlineMilliseconds() {
        return defaultDeadlineMilliseconds;
    }

    long drainTimeoutMilliseconds() {
        return drainTimeoutMilliseconds;
    }

    int threads() {
        return threads;
    }

    /** Builds {@link CallerServerOptions}. */
    public static final class Builder {

        private String host = "127.0.0.1";
        private int port;
        private int headerLimitBytes = 16 * 1024;
        private int bodyLimitBytes = 1024 * 1024;
        private long bodyTimeLimitMilliseconds = 10_000;
        private long totalBodyLimitBytes = 64L * 1024 * 1024;
        private long idleTimeoutMilliseconds = 30_000;
        private int concurrentRequestLimit = 2000;
        private long defaultDeadlineMilliseconds = 5000;
        private long drainTimeoutMilliseconds = 30_000;
        private int threads = 32;

        private Builder() {}

        /**
         * Sets how long the body of a request may take to arrive. The limit is checked whenever a
         * chunk arrives.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder bodyTimeLimitMilliseconds(long value) {
            bodyTimeLimitMilliseconds = value;
            return this;
        }

        /**
         * Sets the maximum total size of the bodies of all requests in progress.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder totalBodyLimitBytes(long value) {
            totalBodyLimitBytes = value;
            return this;
        }

        /**
         * Sets the IP address to listen on.
         *
         * @param value the IP address
         * @return this builder
         */
        public Builder host(String value) {
            host = value;
            return this;
        }

        /**
         * Sets the port to listen on.
         *
         * @param value the port, or 0 for any free port
         * @return this builder
         */
        public Builder port(int value) {
            port = value;
            return this;
        }

        /**
         * Sets the maximum size of the headers of a request.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder headerLimitBytes(int value) {
            headerLimitBytes = value;
            return this;
        }

        /**
         * Sets the maximum size of the body of a request.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder bodyLimitBytes(int value) {
            bodyLimitBytes = value;
            return this;
        }

        /**
         * Sets the idle timeout of connections, which also applies while a request is read.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder idleTimeoutMilliseconds(long value) {
            idleTimeoutMilliseconds = value;
            return this;
        }

        /**
         * Sets the maximum number of requests in progress; further requests are refused at once.
         *
         * @param value requests
         * @return this builder
         */
        public Builder concurrentRequestLimit(int value) {
            concurrentRequestLimit = value;
            return this;
        }

        /**
         * Sets the deadline of requests without a {@code Request-Deadline} header.
         *
         * @param value milliseconds after the arrival of the request
         * @return this builder
         */
        public Builder defaultDeadlineMilliseconds(long value) {
            defaultDeadlineMilliseconds = value;
            return this;
        }

        /**
         * Sets how long {@link CallerServer#stop} waits for requests in progress, and then for
         * callers to receive the last answers.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder drainTimeoutMilliseconds(long value) {
            drainTimeoutMilliseconds = value;
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
         * Builds the options.
         *
         * @return the options
         */
        public CallerServerOptions build() {
            return new CallerServerOptions(this);
        }
    }
}
