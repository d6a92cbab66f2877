package org.siskinramp.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.siskinramp.rollout.SimulatedRollout.Decider;
import org.siskinramp.rollout.SimulatedRollout.Fault;
import org.siskinramp.rollout.SimulatedRollout.Kind;

/** Bad versions must stay within their bounds whatever fails, and good ones complete in time. */
class RolloutPolicyTest {

    private static final List<Kind> KINDS = List.of(Kind.values());

    /** Half of the orders are carried out without faults. */
    private static final List<Fault> FAULTS =
            List.of(
                    Fault.NONE,
                    Fault.COORDINATOR_KILLED_AT_TIME,
                    Fault.NONE,
                    Fault.COORDINATOR_KILLED_AT_STEP,
                    Fault.NONE,
                    Fault.STORE_SILENT,
                    Fault.NONE,
                    Fault.STORE_SLOW,
                    Fault.NONE,
                    Fault.STORE_RESTORED);

    private static final int RUNS = 2_000;
    private static final long ROLLBACK_MILLISECONDS = 5_000;

    private static Result run(int runs, IntFunction<Decider> deciders) {
        Result result = new Result();
        for (int seed = 0; seed < runs; seed++) {
            Kind kind = KINDS.get(seed % KINDS.size());
            Fault fault = FAULTS.get(seed / KINDS.size() % FAULTS.size());
            SimulatedRollout rollout =
                    new SimulatedRollout(
                            kind, fault, RandomSource.XO_RO_SHI_RO_128_PP.create(seed), deciders);
            rollout.run();
            result.add(rollout);
        }
        return result;
    }

    @Test
    void boundsHoldInRandomisedRollouts() {
        Result result = run(RUNS, routes -> new RolloutPolicy(routes)::decide);
        String figures = result.toString();
        assertEquals(0, result.overExposed, figures);
        assertEquals(0, result.lateRollbacks, figures);
        assertTrue(result.rolledBackBad >= 0.99 * result.bad, figures);
        assertTrue(result.uncompletedWithoutFault() <= 0.02 * result.good / 2, figures);
    }

    /** Without sampling, or with a move as soon as the verdict is good, bounds are exceeded. */
    @Test
    void anImmediateMoveExceedsTheBounds() {
        Result result =
                run(
                        RUNS / 5,
                        routes ->
                                situation ->
                                        new RolloutDecision(
                                                situation.ageMilliseconds() > 3_000
                                                        ? RolloutStep.MOVING
                                                        : RolloutStep.SAMPLING,
                                                0,
                                                "naive"));
        assertTrue(result.overExposed > result.bad / 2, result.toString());
    }

    private static final class Result {

        private int good;
        private int completedGood;
        private int bad;
        private int rolledBackBad;
        private int overExposed;
        private int lateRollbacks;
        private final Map<Kind, Integer> missed = new EnumMap<>(Kind.class);
        private final Map<Fault, Integer> uncompleted = new EnumMap<>(Fault.class);

        private void add(SimulatedRollout rollout) {
            if (rollout.kind == Kind.GOOD) {
                good++;
                if (rollout.statusAtDeadline == RolloutStep.COMPLETED) {
                    completedGood++;
                } else {
                    uncompleted.merge(rollout.fault, 1, Integer::sum);
                }
                return;
            }
            overExposed += rollout.exposedRequests > 0.1 * rollout.requests + 50 ? 1 : 0;
            boolean isLate =
                    rollout.fiftiethBadMilliseconds != Long.MAX_VALUE
                            && rollout.lastExposureMilliseconds
                                    > rollout.fiftiethBadMilliseconds + ROLLBACK_MILLISECONDS;
            lateRollbacks += isLate ? 1 : 0;
            // A version that becomes bad when it is about to be completed cannot be recognised.
            if (rollout.badFromMilliseconds > rollout.durationMilliseconds - 3_000) {
                return;
            }
            bad++;
            if (rollout.recordedStep == RolloutStep.ROLLED_BACK) {
                rolledBackBad++;
            } else {
                missed.merge(rollout.kind, 1, Integer::sum);
            }
        }

        private int uncompletedWithoutFault() {
            return uncompleted.getOrDefault(Fault.NONE, 0);
        }

        @Override
        public String toString() {
            return "good=%d completed=%d bad=%d rolled_back=%d over_exposed=%d late=%d missed=%s uncompleted=%s"
                    .formatted(
                            good,
                            completedGood,
                            bad,
                            rolledBackBad,
                            overExposed,
                            lateRollbacks,
                            missed,
                            uncompleted);
        }
    }
}
