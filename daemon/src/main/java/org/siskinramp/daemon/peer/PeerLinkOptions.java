package org.siskinramp.daemon.peer;

import java.util.Objects;

/** Holds the address and the limits of the links between entry hosts. */
public final class PeerLinkOptions {

    private final String hostName;
    private final String incarnation;
    private final String host;
    private final int port;
    private final int frameLimitBytes;
    private final int queueLimitFrames;
    private final long silenceLimitMilliseconds;
    private final long seed;
    private final long tickMilliseconds;

    private PeerLinkOptions(Builder builder) {
        hostName = Objects.requireNonNull(builder.hostName, "hostName");
        incarnation = Objects.requireNonNull(builder.incarnation, "incarnation");
        host = Objects.requireNonNull(builder.host, "host");
        port = builder.port;
        frameLimitBytes = builder.frameLimitBytes;
        queueLimitFrames = builder.queueLimitFrames;
        silenceLimitMilliseconds = builder.silenceLimitMilliseconds;
        seed = builder.seed;
        tickMilliseconds = builder.tickMilliseconds;
    }

    /**
     * Starts with limits that suit most uses.
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

    long tickMilliseconds() {
        return tickMilliseconds;
    }

    long silenceLimitMilliseconds() {
        return silenceLimitMilliseconds;
    }

    long seed() {
        return seed;
    }

    /** Collects the address and the limits. */
    public static final class Builder {

        private String hostName;
        private String incarnation;
        private String host = "127.0.0.1";
        private int port;
        private int frameLimitBytes = 256 * 1024;
        private int queueLimitFrames = 256;
        private long silenceLimitMilliseconds = 1500;
        private long seed;
        private long tickMilliseconds = 50;

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
         * Sets the identifier of this start of the entry host.
         *
         * @param value the incarnation
         * @return this builder
         */
        public Builder incarnation(String value) {
            incarnation = value;
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
         * Sets the greatest value of a frame's length field.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder frameLimitBytes(int value) {
            frameLimitBytes = value;
            return this;
        }

        /**
         * Sets how many frames may wait for a peer; the oldest is dropped first.
         *
         * @param value frames
         * @return this builder
         */
        public Builder queueLimitFrames(int value) {
            queueLimitFrames = value;
            return this;
        }

        /**
         * Sets after how long without a receipt a link is closed and opened again.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder silenceLimitMilliseconds(long value) {
            silenceLimitMilliseconds = value;
            return this;
        }

        /**
         * Sets how often links are looked after while nothing is sent or heard.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder tickMilliseconds(long value) {
            tickMilliseconds = value;
            return this;
        }

        /**
         * Sets the seed of the random part of delays.
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
