package org.siskinramp.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares the responses of a target with those of the old version over the same period: failures
 * and slow responses, of all routes together and of each route. Handles versions that are bad at
 * once, from some time on, or on one route only. Not thread-safe.
 *
 * <p>A good version is rejected with a probability of at most 0.01 over all tests. A bad one that
 * fails 0.06 more of its responses, or has 0.3 more slow ones, is accepted with a probability of at
 * most 0.002. On a single route this holds for 0.15 more failures or 0.4 more slow responses, with
 * 0.01. Routes with less than 0.05 of the requests can reject a version, but are not waited for:
 * the exposure bound holds for them without a verdict.
 */
public final class VersionComparison {

    private static final double FALSE_ALARM_PROBABILITY = 0.01;
    private static final double MISS_PROBABILITY = 0.002;
    private static final double ROUTE_MISS_PROBABILITY = 0.01;

    /** The failures that the target may have more than the old version without being bad. */
    private static final double FAILURE_TOLERANCE = 0.005;

    private static final double UNACCEPTABLE_FAILURES = 0.06;
    private static final double UNACCEPTABLE_ROUTE_FAILURES = 0.15;

    /** Loads differ between the servers of both versions, which shifts their percentiles. */
    private static final double SLOW_TOLERANCE = 0.08;

    private static final double UNACCEPTABLE_SLOW = 0.3;
    private static final double UNACCEPTABLE_ROUTE_SLOW = 0.4;

    /** A rate of the old version above this would leave no room for a worse rate. */
    private static final double MAXIMUM_RATE = 0.5;

    private static final double RELEVANT_SHARE = 0.05;

    private final Map<String, Tests> testsByRoute = new HashMap<>();
    private final double falseAlarmProbability;
    private final Tests allRoutes;
    private String cause = "";

    /**
     * Creates a comparison without responses.
     *
     * @param routeCount the number of routes of the service
     */
    public VersionComparison(int routeCount) {
        falseAlarmProbability = FALSE_ALARM_PROBABILITY / (2 * (1 + Math.max(1, routeCount)));
        allRoutes = new Tests(falseAlarmProbability, MISS_PROBABILITY);
    }

    /**
     * Updates the verdict.
     *
     * @param routes the counts since the order
     * @return the verdict on all responses so far
     */
    public Verdict update(List<RouteCounts> routes) {
        ResponseCounts old = sum(routes.stream().map(RouteCounts::old).toList());
        ResponseCounts target = sum(routes.stream().map(RouteCounts::target).toList());
        allRoutes.update(old, old, target, UNACCEPTABLE_FAILURES, UNACCEPTABLE_SLOW);
        List<Verdict> needed = new ArrayList<>(allRoutes.verdicts("all_routes"));
        for (RouteCounts route : routes) {
            Tests tests =
                    testsByRoute.computeIfAbsent(
                            route.route(),
                            name -> new Tests(falseAlarmProbability, ROUTE_MISS_PROBABILITY));
            tests.update(
                    route.old(),
                    old,
                    route.target(),
                    UNACCEPTABLE_ROUTE_FAILURES,
                    UNACCEPTABLE_ROUTE_SLOW);
            List<Verdict> verdicts = tests.verdicts(route.route());
            boolean isRelevant =
                    route.old().responses() >= RELEVANT_SHARE * old.responses()
                            || verdicts.contains(Verdict.BAD);
            if (isRelevant) {
                needed.addAll(verdicts);
            }
        }
        if (needed.contains(Verdict.BAD)) {
            return Verdict.BAD;
        }
        return needed.contains(Verdict.UNDECIDED) ? Verdict.UNDECIDED : Verdict.GOOD;
    }

    /**
     * Returns what is bad about the target.
     *
     * @return {@code failures} or {@code slow}, and the route; empty without a bad verdict
     */
    public String cause() {
        return cause;
    }

    private static ResponseCounts sum(List<ResponseCounts> counts) {
        return counts.stream().reduce(ResponseCounts.NONE, ResponseCounts::plus);
    }

    /** The tests of one route, or of all. */
    private final class Tests {

        private final SequentialTest failures;
        private final SequentialTest slowResponses;
        private ResponseCounts counted = ResponseCounts.NONE;

        private Tests(double falseAlarm, double miss) {
            failures = new SequentialTest(falseAlarm, miss);
            slowResponses = new SequentialTest(falseAlarm, miss);
        }

        /** Adds the new responses; the rates of a route with few old responses are those of all. */
        private void update(
                ResponseCounts old,
                ResponseCounts oldOfAllRoutes,
                ResponseCounts target,
                double unacceptableFailures,
                double unacceptableSlow) {
            ResponseCounts added = target.minus(counted);
            counted = target;
            double failureRate =
                    rate(
                                    old.failures(),
                                    old.responses(),
                                    oldOfAllRoutes.failures(),
                                    oldOfAllRoutes.responses())
                            + FAILURE_TOLERANCE;
            double slowRate =
                    rate(
                                    old.slowResponses(),
                                    old.timedResponses(),
                                    oldOfAllRoutes.slowResponses(),
                                    oldOfAllRoutes.timedResponses())
                            + SLOW_TOLERANCE;
            failures.add(
                    added.failures(),
                    added.responses() - added.failures(),
                    failureRate,
                    failureRate + unacceptableFailures);
            slowResponses.add(
                    added.slowResponses(),
                    added.timedResponses() - added.slowResponses(),
                    slowRate,
                    slowRate + unacceptableSlow);
        }

        private static double rate(long events, long responses, long allEvents, long allResponses) {
            // Weighs the rate of all routes like this many responses of the route.
            double weight = 20;
            double rateOfAll = (double) allEvents / Math.max(1, allResponses);
            return Math.min(MAXIMUM_RATE, (events + weight * rateOfAll) / (responses + weight));
        }

        private List<Verdict> verdicts(String route) {
            List<Verdict> verdicts = List.of(failures.verdict(), slowResponses.verdict());
            if (cause.isEmpty() && verdicts.contains(Verdict.BAD)) {
                cause = (verdicts.get(0) == Verdict.BAD ? "failures:" : "slow:") + route;
            }
            return verdicts;
        }
    }
}
