package org.siskinramp.daemon.platform;

import java.util.Objects;

/** Holds the address of the platform and the limits of an {@link HttpPlatform}. */
public final class HttpPlatformOptions {

    private final String address;
    private final long timeoutMilliseconds;
    private final long connectTimeoutMilliseconds;
    private final int callLimit;
    private final int answerLimitBytes;

    private HttpPlatformOptions(Builder builder) {
        address = Objects.requireNonNull(builder.address, "address");
        timeoutMilliseconds = builder.timeoutMilliseconds;
        connectTimeoutMilliseconds = builder.connectTimeoutMilliseconds;
        callLimit = builder.callLimit;
        answerLimitBytes = builder.answerLimitBytes;
    }

    /**
     * Returns a builder with the default limits.
     *
     * @return a builder, which requires the address
     */
    public static Builder builder() {
        return new Builder();
    }

    String address() {
        return address;
    }

    long timeoutMilliseconds() {
        return timeoutMilliseconds;
    }

    long connectTimeoutMilliseconds() {
        return connectTimeoutMilliseconds;
    }

    int callLimit() {
        return callLimit;
    }

    int answerLimitBytes() {
        return answerLimitBytes;
    }

    /** Builds {@link HttpPlatformOptions}. */
    public static final class Builder {

        private String address;
        private long timeoutMilliseconds = 1000;
        private long connectTimeoutMilliseconds = 500;
        private int callLimit = 64;
        private int answerLimitBytes = 16 * 1024 * 1024;

        private Builder() {}

        /**
         * Sets the address of the platform.
         *
         * @param value the address, as {@code ip:port}
         * @return this builder
         */
        public Builder address(String value) {
            address = value;
            return this;
        }

        /**
         * Sets the maximum duration of a call, including the time to open a connection.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder timeoutMilliseconds(long value) {
            timeoutMilliseconds = value;
            return this;
        }

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
         * Sets the maximum number of calls in progress. Further calls fail immediately.
         *
         * @param value calls
         * @return this builder
         */
        public Builder callLimit(int value) {
            callLimit = value;
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
         * Builds the options.
         *
         * @return the options
         */
        public HttpPlatformOptions build() {
            return new HttpPlatformOptions(this);
        }
    }
}
