package org.siskinramp.rollout;

/** The verdict on a target. */
public enum Verdict {
    /** The responses do not suffice for a verdict. */
    UNDECIDED,
    /** The target is as good as the old version. */
    GOOD,
    /** The target is worse than the old version. */
    BAD
}
