package org.siskinramp.route;

/**
 * Assigns a service its share of the requests of a route.
 *
 * @param service the service's name
 * @param weight the weight of the service, one or more; its share is the weight divided by the sum
 *     of the weights of the route
 */
public record ServiceShare(String service, int weight) {}
