package org.siskinramp.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Holds one version of everything that change tickets describe. It never changes; a ticket makes a
 * new one.
 */
public final class Configuration {

    private static final Configuration EMPTY =
            new Configuration(0, Map.of(), Map.of(), Map.of(), Map.of());

    private final long version;
    private final Map<String, Service> services;
    private final Map<String, BackendServer> backendServers;
    private final Map<String, Place> availabilityZones;
    private final Map<String, Place> hosts;
    private final Map<String, List<BackendServer>> backendServersByService;

    private Configuration(
            long version,
            Map<String, Service> services,
            Map<String, BackendServer> backendServers,
            Map<String, Place> availabilityZones,
            Map<String, Place> hosts) {
        this.version = version;
        this.services = new TreeMap<>(services);
        this.backendServers = new TreeMap<>(backendServers);
        this.availabilityZones = new TreeMap<>(availabilityZones);
        this.hosts = new TreeMap<>(hosts);
        this.backendServersByService = new TreeMap<>();
        for (BackendServer server : this.backendServers.values()) {
            if (server.state() != ServiceState.REMOVED && services.containsKey(server.service())) {
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
     * Starts a new version from this one.
     *
     * @param newVersion the new version, greater than this one's
     * @return a builder with the objects of this version
     */
    public Builder toBuilder(long newVersion) {
        return new Builder(newVersion, this);
    }

    /**
     * Returns the version, which rises with every accepted ticket.
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
     * Finds the service of a path: the one with the longest matching prefix.
     *
     * @param path the path without the query
     * @return the service
     */
    public Optional<Service> serviceOfPath(String path) {
        return services.values().stream()
                .filter(service -> service.state() == ServiceState.IN)
                .filter(service -> service.owns(path))
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
     * @return its backend servers, whatever their state, without removed ones
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
    public Collection<Place> availabilityZones() {
        return List.copyOf(availabilityZones.values());
    }

    /**
     * Finds an availability zone by name.
     *
     * @param name the name
     * @return the availability zone
     */
    public Optional<Place> availabilityZone(String name) {
        return Optional.ofNullable(availabilityZones.get(name));
    }

    /**
     * Returns the hosts that tickets describe, in name order.
     *
     * @return the hosts
     */
    public Collection<Place> hosts() {
        return List.copyOf(hosts.values());
    }

    /**
     * Finds a host by name.
     *
     * @param name the name
     * @return the host
     */
    public Optional<Place> host(String name) {
        return Optional.ofNullable(hosts.get(name));
    }

    /**
     * Tells whether a place is not taken out. A place that no ticket describes is in.
     *
     * @param place the place, if described
     * @return true unless its state is something other than in
     */
    private static boolean isIn(Place place) {
        return place == null || place.state() == ServiceState.IN;
    }

    /**
     * Tells whether an entry host may serve: neither it nor its availability zone is taken out.
     *
     * @param host the entry host's name
     * @param availabilityZone the entry host's availability zone
     * @return true if it may serve
     */
    public boolean isEntryHostIn(String host, String availabilityZone) {
        return isIn(hosts.get(host)) && isIn(availabilityZones.get(availabilityZone));
    }

    /**
     * Tells whether a backend server takes new work: neither it, its service, its host nor its
     * availability zone is taken out.
     *
     * @param server the backend server
     * @return true if it takes new work
     */
    public boolean takesNewWork(BackendServer server) {
        Service service = services.get(server.service());
        return server.state() == ServiceState.IN
                && service != null
                && service.state() == ServiceState.IN
                && isIn(hosts.get(server.host()))
                && isIn(availabilityZones.get(server.availabilityZone()));
    }

    /** Collects the objects of a new version. */
    public static final class Builder {

        private final long version;
        private final Map<String, Service> services;
        private final Map<String, BackendServer> backendServers;
        private final Map<String, Place> availabilityZones;
        private final Map<String, Place> hosts;

        private Builder(long version, Configuration base) {
            this.version = version;
            this.services = new TreeMap<>(base.services);
            this.backendServers = new TreeMap<>(base.backendServers);
            this.availabilityZones = new TreeMap<>(base.availabilityZones);
            this.hosts = new TreeMap<>(base.hosts);
        }

        /**
         * Puts a service, or drops it if its state is removed.
         *
         * @param service the service
         * @return this builder
         */
        public Builder service(Service service) {
            put(services, service.name(), service, service.state());
            return this;
        }

        /**
         * Puts a backend server, or drops it if its state is removed.
         *
         * @param server the backend server
         * @return this builder
         */
        public Builder backendServer(BackendServer server) {
            put(backendServers, server.name(), server, server.state());
            return this;
        }

        /**
         * Puts an availability zone, or drops it if its state is removed.
         *
         * @param place the availability zone
         * @return this builder
         */
        public Builder availabilityZone(Place place) {
            put(availabilityZones, place.name(), place, place.state());
            return this;
        }

        /**
         * Puts a host, or drops it if its state is removed.
         *
         * @param place the host
         * @return this builder
         */
        public Builder host(Place place) {
            put(hosts, place.name(), place, place.state());
            return this;
        }

        private static <T> void put(
                Map<String, T> objects, String name, T object, ServiceState state) {
            if (state == ServiceState.REMOVED) {
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
