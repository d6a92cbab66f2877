package org.siskinramp.gateway;

import java.util.function.DoubleSupplier;

/**
 * Limits how often this host sends to one cold server. Each host gets one send window in each
 * period, so that all hosts together stay within the request rate of the server without exchanging
 * messages. An unused window is lost: when a whole service is cold, many hosts would otherwise use
 * their saved windows in the same second.
 */
final class ColdServerPacer {

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    /**
     * The length of a send window. Any second then overlaps with at most a third more windows than
     * the rate allows, which leaves a margin below the platform's limit for the random phases of
     * the hosts.
     */
    private static final double WINDOW_MILLISECONDS = 300;

    private final DoubleSupplier random;
    private double periodMilliseconds;
    private double windowOpensAt;

    /**
     * Creates a pacer whose first window is drawn when the rate is first given.
     *
     * @param random source of random numbers from 0 to 1
     */
    ColdServerPacer(DoubleSupplier random) {
        this.random = random;
    }

    /**
     * Tells whether this host may send to the server now.
     *
     * @param requestsPerSecond the request rate of all hosts together
     * @param hostCount how many hosts share the rate
     * @param now monotonic milliseconds
     */
    boolean isWindowOpen(double requestsPerSecond, int hostCount, long now) {
        advanceWindow(MILLISECONDS_PER_SECOND * Math.max(1, hostCount) / requestsPerSecond, now);
        return now >= windowOpensAt;
    }

    /**
     * Moves on to the current window. A new period starts at a random phase, since all hosts
     * discover a server at the same moment.
     */
    private void advanceWindow(double newPeriodMilliseconds, long now) {
        if (newPeriodMilliseconds != periodMilliseconds) {
            periodMilliseconds = newPeriodMilliseconds;
            windowOpensAt = now + random.getAsDouble() * periodMilliseconds;
        }
        double windowClosesAt = windowOpensAt + Math.min(periodMilliseconds, WINDOW_MILLISECONDS);
        if (now >= windowClosesAt) {
            windowOpensAt +=
                    periodMilliseconds
                            * Math.floor(1 + (now - windowClosesAt) / periodMilliseconds);
        }
    }

    /** Closes the current window, so that the next one opens in the next period. */
    void useWindow() {
        windowOpensAt += periodMilliseconds;
    }
}
