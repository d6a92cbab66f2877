package org.siskinramp.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Holds one version of the configuration: all objects that change tickets describe. Immutable; each
 * ticket creates a new version.
 */
public final class Configuration {

    private static final Configuration EMPTY =
            new Configuration(0, Map.of(), Map.of(), Map.of(), Map.of());

    private final long version;
    private final Map<String, Service> services;
    private final Map<String, BackendServer> backendServers;
    private final Map<String, Location> availabilityZones;
    private final Map<String, Location> hosts;
    private final Map<String, List<BackendServer>> backendServersByService;

    private Configuration(
            long version,
            Map<String, Service> services,
            Map<String, BackendServer> backendServers,
            Map<String, Location> availabilityZones,
            Map<String, Location> hosts) {
        this.version = version;
        this.services = new TreeMap<>(services);
        this.backendServers = new TreeMap<>(backendServers);
        this.availabilityZones = new TreeMap<>(availabilityZones);
        this.hosts = new TreeMap<>(hosts);
        this.backendServersByService = new TreeMap<>();
        for (BackendServer server : this.backendServers.values()) {
            if (server.state() != AdministrativeState.REMOVED
                    && services.containsKey(server.service())) {
                backendServersByService
                        .computeIfAbsent(server.service(), name -> new ArrayList<>())
                        .add(server);
            }
        }
        backendServersByService.replaceAll((service, servers) -> List.copyOf(servers));
    }

    /**
     * Returns the configuration before the first ticket.
     *
     * @return version 0, without objects
     */
    public static Configuration empty() {
        return EMPTY;
    }

    /**
     * Returns a builder of a new version that starts with the objects of this one.
     *
     * @param newVersion the new version, greater than the version of this configuration
     * @return the builder
     */
    public Builder toBuilder(long newVersion) {
        return new Builder(newVersion, this);
    }

    /**
     * Returns the version, which increases with every accepted ticket.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Returns the services in name order.
     *
     * @return all services that are not removed
     */
    public Collection<Service> services() {
        return List.copyOf(services.values());
    }

    /**
     * Finds a service by name.
     *
     * @param name the name
     * @return the service
     */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Finds the service of a path: the one in service with the longest matching prefix.
     *
     * @param path the path without the query
     * @return the service
     */
    public Optional<Service> serviceOfPath(String path) {
        return services.values().stream()
                .filter(service -> service.state() == AdministrativeState.IN)
                .filter(service -> service.matchesPath(path))
                .max(Comparator.comparingInt(service -> service.pathPrefix().length()));
    }

    /**
     * Returns the backend servers in name order.
     *
     * @return all backend servers that are not removed
     */
    public Collection<BackendServer> backendServers() {
        return List.copyOf(backendServers.values());
    }

    /**
     * Returns the backend servers of a service in name order.
     *
     * @param service the service's name
     * @return its backend servers that are not removed, whether they take new work or not
     */
    public List<BackendServer> backendServersOf(String service) {
        return backendServersByService.getOrDefault(service, List.of());
    }

    /**
     * Finds a backend server by name.
     *
     * @param name the name
     * @return the backend server
     */
    public Optional<BackendServer> backendServer(String name) {
        return Optional.ofNullable(backendServers.get(name));
    }

    /**
     * Returns the availability zones in name order.
     *
     * @return the availability zones
     */
    public Collection<Location> availabilityZones() {
        return List.copyOf(availabilityZones.values());
    }

    /**
     * Finds an availability zone by name.
     *
     * @param name the name
     * @return the availability zone
     */
    public Optional<Location> availabilityZone(String name) {
        return Optional.ofNullable(availabilityZones.get(name));
    }

    /**
     * Returns the hosts that tickets describe, in name order.
     *
     * @return the hosts
     */
    public Collection<Location> hosts() {
        return List.copyOf(hosts.values());
    }

    /**
     * Finds a host by name.
     *
     * @param name the name
     * @return the host
     */
    public Optional<Location> host(String name) {
        return Optional.ofNullable(hosts.get(name));
    }

    /**
     * Tells whether a host or an availability zone is in service. It is if no ticket describes it.
     *
     * @param location the host or the availability zone, or null if no ticket describes it
     * @return true if it is in service
     */
    private static boolean isInService(Location location) {
        return location == null || location.state() == AdministrativeState.IN;
    }

    /**
     * Tells whether an entry host is in service, and its availability zone too.
     *
     * @param host the entry host's name
     * @param availabilityZone the entry host's availability zone
     * @return true if both are in service
     */
    public boolean isEntryHostInService(String host, String availabilityZone) {
        return isInService(hosts.get(host)) && isInService(availabilityZones.get(availabilityZone));
    }

    /**
     * Tells whether a backend server takes new work: it, its service, its host and its availability
     * zone are in service.
     *
     * @param server the backend server
     * @return true if it takes new work
     */
    public boolean takesNewWork(BackendServer server) {
        Service service = services.get(server.service());
        return server.state() == AdministrativeState.IN
                && service != null
                && service.state() == AdministrativeState.IN
                && isInService(hosts.get(server.host()))
                && isInService(availabilityZones.get(server.availabilityZone()));
    }

    /** Collects the objects of a new version. */
    public static final class Builder {

        private final long version;
        private final Map<String, Service> services;
        private final Map<String, BackendServer> backendServers;
        private final Map<String, Location> availabilityZones;
        private final Map<String, Location> hosts;

        private Builder(long version, Configuration base) {
            this.version = version;
            this.services = new TreeMap<>(base.services);
            this.backendServers = new TreeMap<>(base.backendServers);
            this.availabilityZones = new TreeMap<>(base.availabilityZones);
            this.hosts = new TreeMap<>(base.hosts);
        }

        /**
         * Adds or replaces a service, or removes it if its state says so.
         *
         * @param service the service
         * @return this builder
         */
        public Builder service(Service service) {
            put(services, service.name(), service, service.state());
            return this;
        }

        /**
         * Adds or replaces a backend server, or removes it if its state says so.
         *
         * @param server the backend server
         * @return this builder
         */
        public Builder backendServer(BackendServer server) {
            put(backendServers, server.name(), server, server.state());
            return this;
        }

        /**
         * Adds or replaces an availability zone, or removes it if its state says so.
         *
         * @param location the availability zone
         * @return this builder
         */
        public Builder availabilityZone(Location location) {
            put(availabilityZones, location.name(), location, location.state());
            return this;
        }

        /**
         * Adds or replaces a host, or removes it if its state says so.
         *
         * @param location the host
         * @return this builder
         */
        public Builder host(Location location) {
            put(hosts, location.name(), location, location.state());
            return this;
        }

        private static <T> void put(
                Map<String, T> objects, String name, T object, AdministrativeState state) {
            if (state == AdministrativeState.REMOVED) {
                objects.remove(name);
            } else {
                objects.put(name, object);
            }
        }

        /**
         * Builds the configuration.
         *
         * @return the new version
         */
        public Configuration build() {
            return new Configuration(version, services, backendServers, availabilityZones, hosts);
        }
    }
}
