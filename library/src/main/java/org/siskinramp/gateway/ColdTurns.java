package org.siskinramp.gateway;

import java.util.function.DoubleSupplier;

/**
 * Gives this host its turns at a cold server, so that all hosts together stay within the rate that
 * the server bears without a message between them. Answers a whole service that is cold at once: a
 * turn that is not used is lost, since saved turns of many hosts would be used in the same second.
 */
final class ColdTurns {

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    /**
     * How long a turn stays open. A second then holds at most a third more turns than the rate,
     * which leaves the hosts' random phases room below the bound.
     */
    private static final double OPEN_MILLISECONDS = 300;

    private final DoubleSupplier random;
    private double period;
    private double opensAt;

    /** Starts without a turn; the source of random numbers gives values from 0 to 1. */
    ColdTurns(DoubleSupplier random) {
        this.random = random;
    }

    /**
     * Tells whether this host has the turn.
     *
     * @param perSecond the rate of all hosts together
     * @param hosts how many hosts share it
     * @param now monotonic milliseconds
     */
    boolean isOpen(double perSecond, int hosts, long now) {
        follow(MILLISECONDS_PER_SECOND * Math.max(1, hosts) / perSecond, now);
        return now >= opensAt;
    }

    /**
     * Hosts learn of a server at the same moment, so each starts at a random part of its period.
     */
    private void follow(double newPeriod, long now) {
        if (newPeriod != period) {
            period = newPeriod;
            opensAt = now + random.getAsDouble() * period;
        }
        double closesAt = opensAt + Math.min(period, OPEN_MILLISECONDS);
        if (now >= closesAt) {
            opensAt += period * Math.floor(1 + (now - closesAt) / period);
        }
    }

    /** Uses the turn up. */
    void use() {
        opensAt += period;
    }
}
