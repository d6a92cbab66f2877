package org.siskinramp.route;

/**
 * Gives a service its part of the requests of a route.
 *
 * @param service the service's name
 * @param weight its weight among the shares of the route, one or more
 */
public record ServiceShare(String service, int weight) {}
