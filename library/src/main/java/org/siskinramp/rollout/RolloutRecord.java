package org.siskinramp.rollout;

/**
 * The state of an order in the store, in a row of siskinramp and in the status row.
 *
 * @param order the order
 * @param stage its stage
 */
public record RolloutRecord(RolloutOrder order, RolloutStage stage) {}
