package org.siskinramp.rollout;

/**
 * Decides the steps of one order. Handles versions that are bad at once, later, under load or on
 * one route: the target is sampled as long as the exposure limit allows and all requests move as
 * late as possible, so that the limit holds until the deadline whatever the verdict. A successor
 * creates a new policy and continues from the counts since the order. Not thread-safe.
 */
public final class RolloutPolicy {

    /** Gives a verdict within a few seconds, so that only some of the limit is used up. */
    private static final double SAMPLE_SHARE = 0.06;

    /**
     * The share while the target's servers are cold, whose times cannot be compared, and after a
     * good verdict, when only a later change has to be noticed. The rest of the limit is left for
     * the move: the longer it may last, the more surely it completes.
     */
    private static final double WATCHING_SHARE = 0.01;

    /** A move that was not completed by then is undone, so that the status is in time. */
    private static final long LAST_COMPLETION_MILLISECONDS = 100;

    /** A move takes at least this: the message to all hosts, and the end of requests. */
    private static final long SHORTEST_MOVE_MILLISECONDS = 500;

    private final VersionComparison comparison;

    /**
     * Creates the policy of one order.
     *
     * @param routeCount the number of routes of the service
     */
    public RolloutPolicy(int routeCount) {
        comparison = new VersionComparison(routeCount);
    }

    /**
     * Decides how the order goes on. Call it with each update of the counts.
     *
     * @param situation what is known
     * @return the next step
     */
    public RolloutDecision decide(RolloutSituation situation) {
        RolloutStep step = situation.step();
        if (step == RolloutStep.COMPLETED || step == RolloutStep.ROLLED_BACK) {
            return new RolloutDecision(step, 0, "final");
        }
        Verdict verdict = comparison.update(situation.routes());
        if (verdict == Verdict.BAD) {
            return new RolloutDecision(RolloutStep.ROLLED_BACK, 0, comparison.cause());
        }
        long leftMilliseconds = situation.durationMilliseconds() - situation.ageMilliseconds();
        if (step == RolloutStep.MOVING) {
            return decideMoving(situation, leftMilliseconds);
        }
        if (leftMilliseconds < SHORTEST_MOVE_MILLISECONDS) {
            return new RolloutDecision(RolloutStep.ROLLED_BACK, 0, "no_verdict");
        }
        double moveMilliseconds =
                ExposureLimit.moveMilliseconds(
                        situation.exposedRequests(),
                        situation.requests(),
                        situation.ageMilliseconds(),
                        situation.durationMilliseconds());
        if (verdict == Verdict.GOOD
                && situation.isTargetReady()
                && situation.isStoreAvailable()
                && leftMilliseconds <= moveMilliseconds) {
            return new RolloutDecision(RolloutStep.MOVING, 1, "good");
        }
        return new RolloutDecision(
                RolloutStep.SAMPLING, sampleShare(situation, verdict), "undecided");
    }

    private static double sampleShare(RolloutSituation situation, Verdict verdict) {
        if (!ExposureLimit.allowsSampling(situation.exposedRequests(), situation.requests())) {
            return 0;
        }
        boolean isNeeded = situation.isTargetReady() && verdict == Verdict.UNDECIDED;
        return isNeeded ? SAMPLE_SHARE : WATCHING_SHARE;
    }

    private static RolloutDecision decideMoving(RolloutSituation situation, long leftMilliseconds) {
        if (leftMilliseconds < LAST_COMPLETION_MILLISECONDS) {
            return new RolloutDecision(RolloutStep.ROLLED_BACK, 0, "not_completed");
        }
        if (situation.oldRequestsInProgress() == 0 && situation.isStoreAvailable()) {
            return new RolloutDecision(RolloutStep.COMPLETED, 1, "good");
        }
        return new RolloutDecision(RolloutStep.MOVING, 1, "good");
    }
}
