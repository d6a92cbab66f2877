package org.siskinramp.membership;

import java.util.EnumSet;
import java.util.Set;

/**
 * Holds the intervals and time limits of the membership. They must be equal on all hosts of a
 * deployment.
 */
public final class MembershipOptions {

    private static final long HEARTBEAT_INTERVAL_MILLISECONDS = 500;
    private static final long LEASE_TERM_MILLISECONDS = 2_000;
    private static final long TICK_INTERVAL_MILLISECONDS = 50;
    private static final long CONFIGURATION_GRACE_MILLISECONDS = 500;
    private static final long HOST_LIST_ABSENCE_MILLISECONDS = 30_000;
    private static final long CLOCK_MARGIN_MILLISECONDS = 250;

    private final long heartbeatIntervalMilliseconds;
    private final long leaseTermMilliseconds;
    private final long configurationGraceMilliseconds;
    private final Set<Safeguard> safeguards;

    private MembershipOptions(Builder builder) {
        heartbeatIntervalMilliseconds = builder.heartbeatIntervalMilliseconds;
        leaseTermMilliseconds = builder.leaseTermMilliseconds;
        configurationGraceMilliseconds = builder.configurationGraceMilliseconds;
        safeguards = EnumSet.copyOf(builder.safeguards);
    }

    /**
     * Creates a builder with the default values.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the time between two heartbeats to a peer.
     *
     * @return milliseconds
     */
    public long heartbeatIntervalMilliseconds() {
        return heartbeatIntervalMilliseconds;
    }

    /**
     * Returns how long an acknowledgement or a suspicion binds its sender.
     *
     * @return milliseconds
     */
    public long leaseTermMilliseconds() {
        return leaseTermMilliseconds;
    }

    /**
     * Returns the lease term plus one percent, as a margin for clocks that run at different speeds.
     *
     * @return milliseconds
     */
    long promiseMilliseconds() {
        return leaseTermMilliseconds + leaseTermMilliseconds / 100;
    }

    /** Returns how long after its start a host neither acknowledges nor suspects any host. */
    long startupSilenceMilliseconds() {
        return 2 * promiseMilliseconds();
    }

    long tickIntervalMilliseconds() {
        return TICK_INTERVAL_MILLISECONDS;
    }

    /**
     * Returns how long a member that applied a configuration still acknowledges hosts that act on
     * an older one. A host that cannot obtain the configuration loses its authority at most this
     * time plus a lease term after a majority applied it.
     *
     * @return milliseconds
     */
    public long configurationGraceMilliseconds() {
        return configurationGraceMilliseconds;
    }

    /** Returns how long a host must be missing from the platform's list to count as stopped. */
    long hostListAbsenceMilliseconds() {
        return HOST_LIST_ABSENCE_MILLISECONDS;
    }

    /**
     * Returns how long a claim waits for requests with a time limit, with a margin for clock
     * errors.
     */
    long claimWaitMilliseconds(long timeLimitMilliseconds) {
        return timeLimitMilliseconds + timeLimitMilliseconds / 100 + CLOCK_MARGIN_MILLISECONDS;
    }

    boolean has(Safeguard safeguard) {
        return safeguards.contains(safeguard);
    }

    /** Builds options. */
    public static final class Builder {

        private long heartbeatIntervalMilliseconds = HEARTBEAT_INTERVAL_MILLISECONDS;
        private long leaseTermMilliseconds = LEASE_TERM_MILLISECONDS;
        private long configurationGraceMilliseconds = CONFIGURATION_GRACE_MILLISECONDS;
        private final EnumSet<Safeguard> safeguards = EnumSet.allOf(Safeguard.class);

        private Builder() {}

        /**
         * Sets the time between two heartbeats to a peer.
         *
         * @param milliseconds the time in milliseconds, one or more
         * @return this builder
         */
        public Builder heartbeatIntervalMilliseconds(long milliseconds) {
            heartbeatIntervalMilliseconds = requirePositive(milliseconds);
            return this;
        }

        /**
         * Sets the lease term.
         *
         * @param milliseconds the time in milliseconds, one or more
         * @return this builder
         */
        public Builder leaseTermMilliseconds(long milliseconds) {
            leaseTermMilliseconds = requirePositive(milliseconds);
            return this;
        }

        /**
         * Sets how long a member still acknowledges hosts with an older configuration.
         *
         * @param milliseconds the time in milliseconds, one or more
         * @return this builder
         */
        public Builder configurationGraceMilliseconds(long milliseconds) {
            configurationGraceMilliseconds = requirePositive(milliseconds);
            return this;
        }

        Builder without(Safeguard safeguard) {
            safeguards.remove(safeguard);
            return this;
        }

        /**
         * Builds the options.
         *
         * @return the options
         * @throws IllegalArgumentException if fewer than three heartbeats fit into a lease term
         */
        public MembershipOptions build() {
            if (leaseTermMilliseconds < 3 * heartbeatIntervalMilliseconds) {
                throw new IllegalArgumentException(
                        "the lease term must be at least three heartbeat intervals");
            }
            return new MembershipOptions(this);
        }

        private static long requirePositive(long milliseconds) {
            if (milliseconds <= 0) {
                throw new IllegalArgumentException("not a positive time: " + milliseconds);
            }
            return milliseconds;
        }
    }
}
