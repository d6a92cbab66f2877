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
 * Keeps the backend servers that published themselves, by service, and the availability zones that
 * are evacuated. It is guarded by the lock of its owner.
 *
 * <p>An entry whose publication is older than a known one of the same server is passed over. A
 * server whose entry went while the store could not hear it is kept for a short time, since a live
 * server publishes itself again; any other server whose entry went is gone at once.
 */
public final class Fleet {

    private final Map<String, KnownServer> servers = new TreeMap<>();
    private final Map<String, List<KnownServer>> byService = new HashMap<>();
    private Set<String> evacuatedZones = Set.of();

    /**
     * Takes the entry of a server in.
     *
     * @param entry the entry
     * @param now monotonic milliseconds
     * @return true if it is new or changes what is known
     */
    public boolean put(ServerEntry entry, long now) {
        String name = entry.server().name();
        KnownServer known = servers.get(name);
        if (known != null && entry.isOlderThan(known.entry())) {
            return false;
        }
        boolean moved = known != null && !known.server().service().equals(entry.server().service());
        if (known == null || moved) {
            servers.put(name, new KnownServer(entry, now));
            index();
            return true;
        }
        boolean changed =
                known.isGone(now)
                        || known.entry().leaving() != entry.leaving()
                        || known.entry().bornMilliseconds() != entry.bornMilliseconds()
                        || !known.server().equals(entry.server());
        known.follow(entry, now);
        return changed;
    }

    /**
     * Notes that the entry of a server is gone.
     *
     * @param name the server's name
     * @param goneAt when it is to be taken as gone, in monotonic milliseconds
     * @return true if the server was known
     */
    public boolean remove(String name, long goneAt) {
        KnownServer known = servers.get(name);
        if (known == null) {
            return false;
        }
        known.leaveAt(goneAt);
        return true;
    }

    /**
     * Returns the names of the servers whose entries went and which are not gone yet.
     *
     * @param now monotonic milliseconds
     * @return the names
     */
    public Set<String> kept(long now) {
        Set<String> kept = new HashSet<>();
        for (KnownServer server : servers.values()) {
            if (server.isLapsing(now)) {
                kept.add(server.server().name());
            }
        }
        return kept;
    }

    /**
     * Forgets the servers that are gone, have no request of this host, and did not just ask for
     * something.
     *
     * @param now monotonic milliseconds
     */
    public void sweep(long now) {
        if (servers.values().removeIf(server -> server.isGone(now) && !server.isKept(now))) {
            index();
        }
    }

    private void index() {
        byService.clear();
        for (KnownServer server : servers.values()) {
            byService
                    .computeIfAbsent(server.server().service(), service -> new ArrayList<>())
                    .add(server);
        }
    }

    /**
     * Follows the evacuations.
     *
     * @param zones the availability zones whose servers must get nothing
     */
    public void evacuate(Set<String> zones) {
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
     * Returns the names of all servers, those that are gone included.
     *
     * @return the names
     */
    public Set<String> names() {
        return new HashSet<>(servers.keySet());
    }

    /**
     * Returns all servers.
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
     * @return false if the service has none
     */
    public boolean hasUsable(String service, long now) {
        return byService.getOrDefault(service, List.of()).stream()
                .anyMatch(server -> isUsable(server, now));
    }

    /**
     * Returns the servers of a service that may get new requests.
     *
     * @param service the service
     * @param now monotonic milliseconds
     * @return the servers that are present and in no evacuated availability zone
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
     * @return true if it is present, asked for no pause and is in no evacuated availability zone
     */
    public boolean isUsable(KnownServer server, long now) {
        return isWanted(server, now) && !server.isPaused(now);
    }

    private boolean isWanted(KnownServer server, long now) {
        return server.isPresent(now)
                && !evacuatedZones.contains(server.server().availabilityZone());
    }

    /**
     * Returns when the first server of a service may get requests again that asked for a pause.
     *
     * @param service the service
     * @param now monotonic milliseconds
     * @return monotonic milliseconds, or empty if none of them pauses
     */
    public OptionalLong firstReturn(String service, long now) {
        return byService.getOrDefault(service, List.of()).stream()
                .filter(server -> isWanted(server, now) && server.isPaused(now))
                .mapToLong(KnownServer::pausedUntil)
                .min();
    }
}
