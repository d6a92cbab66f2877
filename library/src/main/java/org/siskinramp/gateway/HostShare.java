package org.siskinramp.gateway;

/**
 * Computes this host's share of a budget that is divided among all hosts. The share grows linearly
 * during the first window after a start, so that a host that restarts several times within one
 * window does not get its full share each time. Thread-safe.
 */
final class HostShare {

    private final long startedAt;
    private final long windowMilliseconds;
    private volatile int hostCount;

    /**
     * Creates a share among an assumed number of hosts.
     *
     * @param assumedHosts how many hosts to assume until they have been counted
     * @param startedAt when this host started, in monotonic milliseconds
     * @param windowMilliseconds the length of the budget's window
     */
    HostShare(int assumedHosts, long startedAt, long windowMilliseconds) {
        this.startedAt = startedAt;
        this.windowMilliseconds = windowMilliseconds;
        hostCount = Math.max(1, assumedHosts);
    }

    void updateHostCount(int newCount) {
        hostCount = Math.max(1, newCount);
    }

    int hostCount() {
        return hostCount;
    }

    /** Returns this host's share of a total that is divided among all hosts. */
    double shareOf(double total, long now) {
        double rampUp = Math.min(1, (double) (now - startedAt) / windowMilliseconds);
        return rampUp * total / hostCount;
    }
}
