package org.siskinramp.standin.server;

import java.util.Objects;

/**
 * Holds the settings of a backend server stand-in.
 *
 * <pre>{@code
 * ServerSettings settings = ServerSettings.builder()
 *         .name("dispatch-1").address("127.0.0.1:0").slots(4).meanServiceTimeMilliseconds(20)
 *         .build();
 * }</pre>
 */
public final class ServerSettings {

    private final String name;
    private final String address;
    private final int slots;
    private final int queueLimit;
    private final double meanServiceTimeMilliseconds;
    private final Distribution distribution;
    private final long seed;
    private final int coldSlots;
    private final int warmAfterRequests;
    private final boolean crashesOnColdOverload;
    private final long restartDelayMilliseconds;
    private final long reportLagMilliseconds;

    private ServerSettings(Builder builder) {
        name = Objects.requireNonNull(builder.name, "name");
        address = builder.address;
        slots = builder.slots;
        queueLimit = builder.queueLimit;
        meanServiceTimeMilliseconds = builder.meanServiceTimeMilliseconds;
        distribution = builder.distribution;
        seed = builder.seed;
        coldSlots = builder.coldSlots;
        warmAfterRequests = builder.warmAfterRequests;
        crashesOnColdOverload = builder.crashOnColdOverload;
        restartDelayMilliseconds = builder.restartDelayMilliseconds;
        reportLagMilliseconds = builder.reportLagMilliseconds;
    }

    /**
     * Returns a builder with default settings.
     *
     * @return a builder with four slots, exponential service times of 20 ms on average and no cold
     *     start
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

    int queueLimit() {
        return queueLimit;
    }

    double meanServiceTimeMilliseconds() {
        return meanServiceTimeMilliseconds;
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

    boolean crashesOnColdOverload() {
        return crashesOnColdOverload;
    }

    long restartDelayMilliseconds() {
        return restartDelayMilliseconds;
    }

    long reportLagMilliseconds() {
        return reportLagMilliseconds;
    }

    /** Builds settings. */
    public static final class Builder {

        private String name;
        private String address = "127.0.0.1:0";
        private int slots = 4;
        private int queueLimit = 250;
        private double meanServiceTimeMilliseconds = 20;
        private Distribution distribution = Distribution.EXPONENTIAL;
        private long seed = 1;
        private int coldSlots = 1;
        private int warmAfterRequests;
        private boolean crashOnColdOverload;
        private long restartDelayMilliseconds = 1000;
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
         * Sets the address to listen on.
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
         * @param value the limit of the queue
         * @return this builder
         */
        public Builder queueLimit(int value) {
            queueLimit = value;
            return this;
        }

        /**
         * Sets the mean service time of a request.
         *
         * @param value the mean in milliseconds
         * @return this builder
         */
        public Builder meanServiceTimeMilliseconds(double value) {
            meanServiceTimeMilliseconds = value;
            return this;
        }

        /**
         * Sets how service times are distributed.
         *
         * @param value the distribution
         * @return this builder
         */
        public Builder distribution(Distribution value) {
            distribution = value;
            return this;
        }

        /**
         * Sets the seed from which service times are drawn.
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
         * @param slotsWhileCold how many requests the cold server can have in progress without
         *     being overloaded
         * @param requests how many requests it finishes before it is warm; zero for no cold start
         * @return this builder
         */
        public Builder coldStart(int slotsWhileCold, int requests) {
            coldSlots = slotsWhileCold;
            warmAfterRequests = requests;
            return this;
        }

        /**
         * Sets whether an overload while cold crashes the server.
         *
         * @param value true if it does; otherwise the overload is only counted
         * @return this builder
         */
        public Builder crashOnColdOverload(boolean value) {
            crashOnColdOverload = value;
            return this;
        }

        /**
         * Sets how long a crashed server refuses connections.
         *
         * @param value the time in milliseconds
         * @return this builder
         */
        public Builder restartDelayMilliseconds(long value) {
            restartDelayMilliseconds = value;
            return this;
        }

        /**
         * Sets by how much the reported load lags.
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
