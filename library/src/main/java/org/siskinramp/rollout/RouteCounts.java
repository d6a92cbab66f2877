package org.siskinramp.rollout;

/**
 * Counts the responses of both versions on one route since the order.
 *
 * @param route the name of the route
 * @param old the responses of the old version
 * @param target the responses of the target
 */
public record RouteCounts(String route, ResponseCounts old, ResponseCounts target) {}
