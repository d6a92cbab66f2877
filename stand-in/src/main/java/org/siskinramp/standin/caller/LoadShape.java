package org.siskinramp.standin.caller;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Describes how the rate of a load changes in time and how the load is distributed over the
 * targets.
 *
 * @param surgeFactor the factor by which the rate is higher during the surge
 * @param surgeFromMilliseconds when the surge begins, in milliseconds after the start of the run
 * @param surgeToMilliseconds when the surge ends, in milliseconds after the start of the run
 * @param targetShares the share of each target, relative to the others; empty for equal shares
 */
public record LoadShape(
        double surgeFactor,
        double surgeFromMilliseconds,
        double surgeToMilliseconds,
        List<Double> targetShares) {

    /** A constant rate with equal shares. */
    public static final LoadShape STEADY = new LoadShape(1, 0, 0, List.of());

    /**
     * Copies the list of shares so that the shape is immutable.
     *
     * @param surgeFactor the factor
     * @param surgeFromMilliseconds the beginning
     * @param surgeToMilliseconds the end
     * @param targetShares the shares
     */
    public LoadShape {
        targetShares = List.copyOf(targetShares);
    }

    /**
     * Returns the factor by which a run has more requests than it would have without the surge.
     *
     * @param milliseconds how long the run lasts, in milliseconds
     * @return the mean factor
     */
    public double meanFactor(double milliseconds) {
        double surge = Math.min(surgeToMilliseconds, milliseconds) - surgeFromMilliseconds;
        return 1 + (surgeFactor - 1) * Math.max(0, surge) / milliseconds;
    }

    double rateFactorAt(double milliseconds) {
        boolean surging =
                milliseconds >= surgeFromMilliseconds && milliseconds < surgeToMilliseconds;
        return surging ? surgeFactor : 1;
    }

    int drawTarget(SplittableRandom random, int targets) {
        if (targetShares.isEmpty()) {
            return random.nextInt(targets);
        }
        double total = targetShares.stream().mapToDouble(Double::doubleValue).sum();
        double point = random.nextDouble() * total;
        for (int target = 0; target < targets - 1; target++) {
            point -= targetShares.get(target);
            if (point < 0) {
                return target;
            }
        }
        return targets - 1;
    }
}
