package org.siskinramp.rollout;

/** What a running order does with the requests of its service. */
public enum RolloutStep {
    /** The target gets a small share of the requests. */
    SAMPLING,
    /** The target gets all new requests. */
    MOVING,
    /** The target got all requests; none is in progress at old servers. */
    COMPLETED,
    /** The target gets no requests. */
    ROLLED_BACK
}
