package org.siskinramp.rollout;

/** Tells when it is the turn of this host to record the state of an order. */
@FunctionalInterface
public interface RolloutDuty {

    /**
     * Returns how long this host leaves the write to hosts that come before it.
     *
     * @param service the service
     * @return milliseconds, 0 for the first host
     */
    long delayMilliseconds(String service);
}
