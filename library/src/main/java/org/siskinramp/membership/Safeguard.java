package org.siskinramp.membership;

/** Rules that a test can disable, to show that its checks detect the violations that follow. */
enum Safeguard {
    /** A member never acknowledges and suspects the same host within one lease term. */
    SEPARATE_PROMISES,
    /** A host neither acknowledges nor suspects any host for two lease terms after its start. */
    START_SILENCE,
    /** A claim waits until requests in progress on other hosts have reached their time limit. */
    TIME_LIMIT_WAIT,
    /** A claim waits until the other members act on the same view and configuration. */
    ALIGNMENT,
    /** Majorities of both views are needed while a host may still use the previous one. */
    JOINT_MAJORITY
}
