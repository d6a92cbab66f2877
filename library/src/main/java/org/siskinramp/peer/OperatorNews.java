package org.siskinramp.peer;

import java.util.List;
import org.siskinramp.route.CallerLimits;
import org.siskinramp.route.RoutedService;

/**
 * Tells all that operators set, as its sender read it from the platform's table.
 *
 * @param version the version of the table up to which this tells it
 * @param ageMilliseconds how long ago the table was read
 * @param routesVersion the version of the routes, 0 if there are none yet
 * @param routes all routes, or a part of them
 * @param services the services that all routes name
 * @param limits what callers may send
 * @param evacuatedZones the availability zones whose backend servers must get nothing
 * @param part the place of this message in the list of routes, from 0
 * @param more true if another message with the same version goes on with the list
 */
public record OperatorNews(
        long version,
        long ageMilliseconds,
        long routesVersion,
        List<RouteLine> routes,
        List<RoutedService> services,
        CallerLimits limits,
        List<String> evacuatedZones,
        int part,
        boolean more)
        implements PeerMessage {

    /**
     * Copies the lists so that the message cannot change.
     *
     * @param version the version of the table
     * @param ageMilliseconds the age of the read
     * @param routesVersion the version of the routes
     * @param routes all routes
     * @param services the services that they name
     * @param limits what callers may send
     * @param evacuatedZones the evacuated availability zones
     * @param part the place of this message in the list of routes
     * @param more whether another message goes on with the list
     */
    public OperatorNews {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        evacuatedZones = List.copyOf(evacuatedZones);
    }
}
