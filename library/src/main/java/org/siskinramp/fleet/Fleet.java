package org.siskinramp.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

/**
 * Keeps the backend servers that published an entry, by service, and the evacuated availability
 * zones. Guarded by the lock of its owner.
 *
 * <p>An entry that is older than the known entry of the same server is ignored. A server whose
 * entry expired while the store was unavailable is kept for a grace period, since a live server
 * publishes its entry again; any other server expires as soon as its entry is removed.
 */
public final class Fleet {

    private final Map<String, KnownServer> servers = new TreeMap<>();
    private final Map<String, List<KnownServer>> byService = new HashMap<>();
    private final ServerGate serverGate;
    private Set<String> evacuatedZones = Set.of();

    /** Creates a fleet without servers, in which the state of a server alone decides. */
    public Fleet() {
        this(ServerGate.OPEN);
    }

    /**
     * Creates a fleet without servers.
     *
     * @param serverGate decides which servers may get requests apart from their own state
     */
    public Fleet(ServerGate serverGate) {
        this.serverGate = serverGate;
    }

    /**
     * Adds a server, or updates its entry.
     *
     * @param entry the entry
     * @param now monotonic milliseconds
     * @return true if the server is new, or its description, state, start time or software version
     *     changed
     */
    public boolean put(ServerEntry entry, long now) {
        String name = entry.server().name();
        KnownServer known = servers.get(name);
        if (known != null && entry.isOlderThan(known.entry())) {
            return false;
        }
        boolean serviceChanged =
                known != null && !known.server().service().equals(entry.server().service());
        if (known == null || serviceChanged) {
            servers.put(name, new KnownServer(entry, now));
            indexByService();
            return true;
        }
        boolean changed =
                known.isExpired(now)
                        || known.entry().leaving() != entry.leaving()
                        || known.entry().startedMilliseconds() != entry.startedMilliseconds()
                        || !known.entry().softwareVersion().equals(entry.softwareVersion())
                        || !known.server().equals(entry.server());
        known.update(entry, now);
        return changed;
    }

    /**
     * Records that the entry of a server was removed.
     *
     * @param name the server's name
     * @param expiresAt when the grace period of the server ends, in monotonic milliseconds
     * @return true if the server was known
     */
    public boolean remove(String name, long expiresAt) {
        KnownServer known = servers.get(name);
        if (known == null) {
            return false;
        }
        known.expireAt(expiresAt);
        return true;
    }

    /**
     * Returns the names of the servers whose entries were removed and whose grace period has not
     * ended.
     *
     * @param now monotonic milliseconds
     * @return the names
     */
    public Set<String> namesInGracePeriod(long now) {
        Set<String> names = new HashSet<>();
        for (KnownServer server : servers.values()) {
            if (server.isInGracePeriod(now)) {
                names.add(server.server().name());
            }
        }
        return names;
    }

    /**
     * Removes the expired servers. Those with a request of this host in flight, or with a recent
     * announcement of a shutdown, a pause or a rate limit, are retained.
     *
     * @param now monotonic milliseconds
     */
    public void removeExpired(long now) {
        if (servers.values()
                .removeIf(server -> server.isExpired(now) && !server.mustBeRetained(now))) {
            indexByService();
        }
    }

    private void indexByService() {
        byService.clear();
        for (KnownServer server : servers.values()) {
            byService
                    .computeIfAbsent(server.server().service(), service -> new ArrayList<>())
                    .add(server);
        }
    }

    /**
     * Replaces the set of evacuated availability zones.
     *
     * @param zones the availability zones whose servers must get no requests
     */
    public void setEvacuatedZones(Set<String> zones) {
        evacuatedZones = Set.copyOf(zones);
    }

    /**
     * Returns the evacuated availability zones.
     *
     * @return the zones
     */
    public Set<String> evacuatedZones() {
        return evacuatedZones;
    }

    /**
     * Finds a server.
     *
     * @param name its name
     * @return the server
     */
    public Optional<KnownServer> find(String name) {
        return Optional.ofNullable(servers.get(name));
    }

    /**
     * Returns the names of all servers, including expired ones that are retained.
     *
     * @return the names
     */
    public Set<String> names() {
        return new HashSet<>(servers.keySet());
    }

    /**
     * Returns all servers, including expired ones that are retained.
     *
     * @return the servers, in name order
     */
    public Collection<KnownServer> all() {
        return List.copyOf(servers.values());
    }

    /**
     * Tells whether any server of a service may get new requests.
     *
     * @param service the service
     * @param now monotonic milliseconds
     * @return false if the service has no such server
     */
    public boolean hasUsable(String service, long now) {
        return byService.getOrDefault(service, List.of()).stream()
                .anyMatch(server -> isUsable(server, now));
    }

    /**
     * Tells whether any server of a service may get new requests at any rate.
     *
     * @param service the service
     * @param now monotonic milliseconds
     * @return false if each such server has a rate limit, or if there is none
     */
    public boolean hasUsableWithoutRateLimit(String service, long now) {
        return byService.getOrDefault(service, List.of()).stream()
                .anyMatch(server -> !server.rateLimit().isActive() && isUsable(server, now));
    }

    /**
     * Returns the servers of a service that may get new requests.
     *
     * @param service the service
     * @param now monotonic milliseconds
     * @return the servers that are in rotation, not paused and in no evacuated availability zone
     */
    public List<KnownServer> usable(String service, long now) {
        List<KnownServer> usable = new ArrayList<>();
        for (KnownServer server : byService.getOrDefault(service, List.of())) {
            if (isUsable(server, now)) {
                usable.add(server);
            }
        }
        return usable;
    }

    /**
     * Tells whether a server may get new requests at this moment.
     *
     * @param server the server
     * @param now monotonic milliseconds
     * @return true if it is in rotation, not paused, in no evacuated availability zone and not kept
     *     from requests by an order
     */
    public boolean isUsable(KnownServer server, long now) {
        return isEligible(server, now) && !server.isPaused(now);
    }

    /**
     * Tells whether a server may get requests apart from its own state.
     *
     * @param server the server
     * @return false while an order keeps requests from it
     */
    public boolean mayServe(KnownServer server) {
        return serverGate.mayServe(server.entry());
    }

    private boolean isEligible(KnownServer server, long now) {
        return server.isInRotation(now)
                && mayServe(server)
                && !evacuatedZones.contains(server.server().availabilityZone());
    }

    /**
     * Returns when the first paused server of a service may get requests again.
     *
     * @param service the service
     * @param now monotonic milliseconds
     * @return monotonic milliseconds, or empty if no server of the service is paused
     */
    public OptionalLong earliestPauseEnd(String service, long now) {
        return byService.getOrDefault(service, List.of()).stream()
                .filter(server -> isEligible(server, now) && server.isPaused(now))
                .mapToLong(KnownServer::pausedUntil)
                .min();
    }
}
