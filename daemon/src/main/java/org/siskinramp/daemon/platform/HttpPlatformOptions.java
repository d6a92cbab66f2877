package org.siskinramp.daemon.platform;

import java.util.Objects;

/** Holds the address and the limits of the platform's service. */
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
     * Starts with limits that suit most uses.
     *
     * @return a builder, which needs the address
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

    /** Collects the address and the limits. */
    public static final class Builder {

        private String address;
        private long timeoutMilliseconds = 1000;
        private long connectTimeoutMilliseconds = 500;
        private int callLimit = 64;
        private int answerLimitBytes = 16 * 1024 * 1024;

        private Builder() {}

        /**
         * Sets the address of the service.
         *
         * @param value the address, as {@code ip:port}
         * @return this builder
         */
        public Builder address(String value) {
            address = value;
            return this;
        }

        /**
         * Sets how long a call may take.
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
         * Sets how many calls may be in progress; more are refused at once.
         *
         * @param value calls
         * @return this builder
         */
        public Builder callLimit(int value) {
            callLimit = value;
            return this;
        }

        /**
         * Sets the greatest size of an answer.
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
