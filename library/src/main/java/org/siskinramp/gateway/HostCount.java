package org.siskinramp.gateway;

/** Tells how many hosts share a budget, and this host's part of it. Safe for any thread. */
final class HostCount {

    private volatile int hosts;
    private volatile boolean counted;

    /** Starts with a number that is assumed until the hosts are counted. */
    HostCount(int assumed) {
        hosts = Math.max(1, assumed);
    }

    void follow(int newCount) {
        hosts = Math.max(1, newCount);
        counted = true;
    }

    int hosts() {
        return hosts;
    }

    /**
     * Returns this host's part of a number that all hosts share. Before they are counted it is one
     * at least: a host that has just started has no requests yet that would earn it a repeat.
     */
    double partOf(double shared) {
        double part = shared / hosts;
        return counted ? part : Math.max(1, part);
    }
}
