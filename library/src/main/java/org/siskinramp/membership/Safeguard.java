package org.siskinramp.membership;

/** Names the rules that a test may switch off to show that its checks find the fault. */
enum Safeguard {
    /** Acknowledgement and suspicion of one host never overlap. */
    SEPARATE_PROMISES,
    /** A started host makes no promise for two lease terms. */
    START_SILENCE,
    /** A claim waits for the time limit of requests in progress. */
    TIME_LIMIT_WAIT,
    /** A claim waits until the other members act on the same versions. */
    ALIGNMENT,
    /** Majorities of two views are needed while the earlier one may be in use. */
    JOINT_MAJORITY
}
