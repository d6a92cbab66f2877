package org.siskinramp.rollout;

/**
 * The step of an order from now on.
 *
 * @param step the step
 * @param sampleShare the share of the requests that the target gets while it is sampled; hosts send
 *     as many of each route, so that a verdict on rare routes does not take longer
 * @param cause why, for log lines
 */
public record RolloutDecision(RolloutStep step, double sampleShare, String cause) {}
