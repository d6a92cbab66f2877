package org.siskinramp.standin.server;

import java.util.Objects;

/**
 * Holds the settings of a backend server stand-in.
 *
 * <pre>{@code
 * ServerSettings settings = ServerSettings.builder()
 *         .name("dispatch-1").address("127.0.0.1:0").slots(4).workMilliseconds(20)
 *         .build();
 * }</pre>
 */
public final class ServerSettings {

    private final String name;
    private final String address;
    private final int slots;
    private final int acceptQueue;
    private final double workMilliseconds;
    private final Distribution distribution;
    private final long seed;
    private final int coldSlots;
    private final int warmAfterRequests;
    private final boolean fallOver;
    private final long fallOverMilliseconds;
    private final long reportLagMilliseconds;

    private ServerSettings(Builder builder) {
        name = Objects.requireNonNull(builder.name, "name");
        address = builder.address;
        slots = builder.slots;
        acceptQueue = builder.acceptQueue;
        workMilliseconds = builder.workMilliseconds;
        distribution = builder.distribution;
        seed = builder.seed;
        coldSlots = builder.coldSlots;
        warmAfterRequests = builder.warmAfterRequests;
        fallOver = builder.fallOver;
        fallOverMilliseconds = builder.fallOverMilliseconds;
        reportLagMilliseconds = builder.reportLagMilliseconds;
    }

    /**
     * Starts new settings.
     *
     * @return a builder with four slots, 20 ms of exponential work and no cold start
     */
    public static Builder builder() {
        return new Builder();
    }

    String name() {
        return name;
    }

    String address() {
        return address;
    }

    int slots() {
        return slots;
    }

    int acceptQueue() {
        return acceptQueue;
    }

    double workMilliseconds() {
        return workMilliseconds;
    }

    Distribution distribution() {
        return distribution;
    }

    long seed() {
        return seed;
    }

    int coldSlots() {
        return coldSlots;
    }

    int warmAfterRequests() {
        return warmAfterRequests;
    }

    boolean fallsOver() {
        return fallOver;
    }

    long fallOverMilliseconds() {
        return fallOverMilliseconds;
    }

    long reportLagMilliseconds() {
        return reportLagMilliseconds;
    }

    /** Collects settings. */
    public static final class Builder {

        private String name;
        private String address = "127.0.0.1:0";
        private int slots = 4;
        private int acceptQueue = 250;
        private double workMilliseconds = 20;
        private Distribution distribution = Distribution.EXPONENTIAL;
        private long seed = 1;
        private int coldSlots = 1;
        private int warmAfterRequests;
        private boolean fallOver;
        private long fallOverMilliseconds = 1000;
        private long reportLagMilliseconds;

        private Builder() {}

        /**
         * Sets the server's name.
         *
         * @param value the name
         * @return this builder
         */
        public Builder name(String value) {
            name = value;
            return this;
        }

        /**
         * Sets where to listen.
         *
         * @param value the address as {@code ip:port}
         * @return this builder
         */
        public Builder address(String value) {
            address = value;
            return this;
        }

        /**
         * Sets how many requests run at once.
         *
         * @param value the number of slots
         * @return this builder
         */
        public Builder slots(int value) {
            slots = value;
            return this;
        }

        /**
         * Sets how many requests may wait for a slot.
         *
         * @param value the length of the queue
         * @return this builder
         */
        public Builder acceptQueue(int value) {
            acceptQueue = value;
            return this;
        }

        /**
         * Sets the mean duration of a request.
         *
         * @param value the mean in milliseconds
         * @return this builder
         */
        public Builder workMilliseconds(double value) {
            workMilliseconds = value;
            return this;
        }

        /**
         * Sets how durations are distributed.
         *
         * @param value the distribution
         * @return this builder
         */
        public Builder distribution(Distribution value) {
            distribution = value;
            return this;
        }

        /**
         * Sets the seed of the durations.
         *
         * @param value the seed
         * @return this builder
         */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /**
         * Sets the cold start.
         *
         * @param slotsWhileCold how many requests the server bears at once while cold
         * @param requests how many requests it must finish to be warm; zero for no cold start
         * @return this builder
         */
        public Builder coldStart(int slotsWhileCold, int requests) {
            coldSlots = slotsWhileCold;
            warmAfterRequests = requests;
            return this;
        }

        /**
         * Sets whether too much work while cold makes the server fall over.
         *
         * @param value true if it does; otherwise it is only counted
         * @return this builder
         */
        public Builder fallOver(boolean value) {
            fallOver = value;
            return this;
        }

        /**
         * Sets how long a server that fell over refuses connections.
         *
         * @param value the time in milliseconds
         * @return this builder
         */
        public Builder fallOverMilliseconds(long value) {
            fallOverMilliseconds = value;
            return this;
        }

        /**
         * Sets how old the reported load is.
         *
         * @param value the lag in milliseconds
         * @return this builder
         */
        public Builder reportLagMilliseconds(long value) {
            reportLagMilliseconds = value;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
         */
        public ServerSettings build() {
            return new ServerSettings(this);
        }
    }
}
