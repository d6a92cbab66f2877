package org.siskinramp.route;

/**
 * Describes a service that routes lead to.
 *
 * @param name its unique name
 * @param healthPath the path at which its backend servers tell their health
 * @param connectionLimit how many connections a backend server accepts from all hosts together
 * @param coldRequestsPerSecond how many requests a second a cold backend server bears from all
 *     hosts together
 */
public record RoutedService(
        String name, String healthPath, int connectionLimit, double coldRequestsPerSecond) {}
