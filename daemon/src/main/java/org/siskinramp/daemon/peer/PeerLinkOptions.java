package org.siskinramp.daemon.peer;

import java.util.Objects;

/** Holds the address and the limits of a {@link PeerLink}. */
public final class PeerLinkOptions {

    private final String hostName;
    private final String incarnation;
    private final String host;
    private final int port;
    private final int frameLimitBytes;
    private final int queueLimitFrames;
    private final long receiptTimeoutMilliseconds;
    private final long seed;
    private final long selectTimeoutMilliseconds;

    private PeerLinkOptions(Builder builder) {
        hostName = Objects.requireNonNull(builder.hostName, "hostName");
        incarnation = Objects.requireNonNull(builder.incarnation, "incarnation");
        host = Objects.requireNonNull(builder.host, "host");
        port = builder.port;
        frameLimitBytes = builder.frameLimitBytes;
        queueLimitFrames = builder.queueLimitFrames;
        receiptTimeoutMilliseconds = builder.receiptTimeoutMilliseconds;
        seed = builder.seed;
        selectTimeoutMilliseconds = builder.selectTimeoutMilliseconds;
    }

    /**
     * Returns a builder with the default limits.
     *
     * @return a builder, which needs the host name and the incarnation
     */
    public static Builder builder() {
        return new Builder();
    }

    String hostName() {
        return hostName;
    }

    String incarnation() {
        return incarnation;
    }

    String host() {
        return host;
    }

    int port() {
        return port;
    }

    int frameLimitBytes() {
        return frameLimitBytes;
    }

    int queueLimitFrames() {
        return queueLimitFrames;
    }

    long selectTimeoutMilliseconds() {
        return selectTimeoutMilliseconds;
    }

    long receiptTimeoutMilliseconds() {
        return receiptTimeoutMilliseconds;
    }

    long seed() {
        return seed;
    }

    /** Builds {@link PeerLinkOptions}. */
    public static final class Builder {

        private String hostName;
        private String incarnation;
        private String host = "127.0.0.1";
        private int port;
        private int frameLimitBytes = 256 * 1024;
        private int queueLimitFrames = 256;
        private long receiptTimeoutMilliseconds = 1500;
        private long seed;
        private long selectTimeoutMilliseconds = 50;

        private Builder() {}

        /**
         * Sets the name of this entry host.
         *
         * @param value the name
         * @return this builder
         */
        public Builder hostName(String value) {
            hostName = value;
            return this;
        }

        /**
         * Sets the identifier of this process of the entry host, which differs after a restart.
         *
         * @param value the incarnation
         * @return this builder
         */
        public Builder incarnation(String value) {
            incarnation = value;
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
         * Sets the maximum value of the length field of a frame.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder frameLimitBytes(int value) {
            frameLimitBytes = value;
            return this;
        }

        /**
         * Sets the maximum number of frames queued per peer; the oldest frame is dropped first.
         *
         * @param value frames
         * @return this builder
         */
        public Builder queueLimitFrames(int value) {
            queueLimitFrames = value;
            return this;
        }

        /**
         * Sets the receipt timeout: a link is closed and reopened if the frames sent on it get no
         * receipt for so long.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder receiptTimeoutMilliseconds(long value) {
            receiptTimeoutMilliseconds = value;
            return this;
        }

        /**
         * Sets the interval at which the timeouts of links are checked while there is no traffic.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder selectTimeoutMilliseconds(long value) {
            selectTimeoutMilliseconds = value;
            return this;
        }

        /**
         * Sets the seed of the backoff jitter.
         *
         * @param value the seed
         * @return this builder
         */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /**
         * Builds the options.
         *
         * @return the options
         */
        public PeerLinkOptions build() {
            return new PeerLinkOptions(this);
        }
    }
}
