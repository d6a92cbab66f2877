package org.siskinramp.gateway;

/**
 * Tells how many hosts share a budget, and this host's part of it. The part grows over the first
 * window after a start, so that starts that follow each other within a window are granted it once
 * together. Safe for any thread.
 */
final class HostCount {

    private final long startedAt;
    private final long windowMilliseconds;
    private volatile int hosts;

    /**
     * Starts with a number that is assumed until the hosts are counted.
     *
     * @param assumed that number
     * @param startedAt when this host started, in monotonic milliseconds
     * @param windowMilliseconds the window of the budget
     */
    HostCount(int assumed, long startedAt, long windowMilliseconds) {
        this.startedAt = startedAt;
        this.windowMilliseconds = windowMilliseconds;
        hosts = Math.max(1, assumed);
    }

    void follow(int newCount) {
        hosts = Math.max(1, newCount);
    }

    int hosts() {
        return hosts;
    }

    /** Returns this host's part of a number that all hosts share. */
    double partOf(double shared, long now) {
        double grown = Math.min(1, (double) (now - startedAt) / windowMilliseconds);
        return grown * shared / hosts;
    }
}
