package org.siskinramp.route;

/**
 * Describes a service that routes refer to.
 *
 * @param name its unique name
 * @param healthPath the path of the health check of its backend servers
 * @param connectionLimit how many connections a backend server accepts from all hosts together
 * @param coldRequestsPerSecond how many requests per second a cold backend server can process from
 *     all hosts together
 */
public record RoutedService(
        String name, String healthPath, int connectionLimit, double coldRequestsPerSecond) {}
