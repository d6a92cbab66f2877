package org.siskinramp.slot;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.configuration.Service;

/**
 * Assigns each slot of each backend server to one entry host, its home, and orders the other hosts
 * as its successors.
 *
 * <p>The map is a pure function of its inputs: hosts with equal inputs compute equal maps. The
 * slots of each service are spread evenly over the entry hosts, with a difference of at most one
 * slot, and over the availability zones in proportion to their entry hosts. Backend servers keep
 * their slots whatever their state.
 *
 * <pre>{@code
 * SlotMap map = SlotMap.of(configuration, candidates);
 * Optional<String> home = map.home(new SlotKey("portal-1", 0));
 * }</pre>
 */
public final class SlotMap {

    /** A map without slots. */
    public static final SlotMap EMPTY = new SlotMap(List.of(), Map.of(), Map.of());

    private static final LongHashFunction HASH = LongHashFunction.xx();

    private final List<Candidate> candidates;
    private final Map<String, ServiceHomes> services;
    private final Map<SlotKey, String> homes;

    private SlotMap(
            List<Candidate> candidates,
            Map<String, ServiceHomes> services,
            Map<SlotKey, String> homes) {
        this.candidates = candidates;
        this.services = services;
        this.homes = homes;
    }

    /**
     * Describes an entry host that slots may be assigned to.
     *
     * @param host the entry host's name
     * @param availabilityZone its availability zone
     */
    public record Candidate(String host, String availabilityZone) {}

    /**
     * Computes the map.
     *
     * @param configuration the services and backend servers
     * @param candidates the entry hosts, in any order
     * @return the map
     */
    public static SlotMap of(Configuration configuration, Collection<Candidate> candidates) {
        return EMPTY.recompute(configuration, candidates);
    }

    /**
     * Computes the map for other inputs. The result equals that of {@link #of}, but is cheaper: the
     * homes of a service whose slots and entry hosts are the same as in this map are reused.
     *
     * @param configuration the services and backend servers
     * @param newCandidates the entry hosts, in any order
     * @return the map
     */
    public SlotMap recompute(Configuration configuration, Collection<Candidate> newCandidates) {
        if (newCandidates.isEmpty()) {
            return EMPTY;
        }
        List<Candidate> sorted = new ArrayList<>(newCandidates);
        sorted.sort(Comparator.comparing(Candidate::host));
        Map<String, ServiceHomes> reusable = sorted.equals(candidates) ? services : Map.of();
        Map<String, ServiceHomes> nextServices = new HashMap<>();
        Map<SlotKey, String> nextHomes = new LinkedHashMap<>();
        for (Service service : configuration.services()) {
            List<BackendServer> servers = configuration.backendServersOf(service.name());
            ServiceHomes next =
                    ServiceHomes.of(service.name(), servers, sorted, reusable.get(service.name()));
            nextServices.put(service.name(), next);
            nextHomes.putAll(next.homes());
        }
        return new SlotMap(List.copyOf(sorted), nextServices, nextHomes);
    }

    /**
     * Returns all slots.
     *
     * @return the slots, by service and then in no particular order
     */
    public Collection<SlotKey> slots() {
        return List.copyOf(homes.keySet());
    }

    /**
     * Finds the home of a slot.
     *
     * @param slot the slot
     * @return the entry host's name, or empty if there is no such slot
     */
    public Optional<String> home(SlotKey slot) {
        return Optional.ofNullable(homes.get(slot));
    }

    /**
     * Returns the entry hosts that replace the home of a slot, in order.
     *
     * @param slot the slot
     * @return all entry hosts but the home, the first successor first
     */
    public List<String> successors(SlotKey slot) {
        String home = homes.get(slot);
        return candidates.stream()
                .map(Candidate::host)
                .filter(host -> !host.equals(home))
                .map(host -> new Ranked(host, weight("successor", slot, host)))
                .sorted(Comparator.comparingLong(Ranked::weight).thenComparing(Ranked::host))
                .map(Ranked::host)
                .toList();
    }

    /**
     * Computes a rendezvous hashing weight.
     *
     * @param parts the parts of the hashed key
     * @return a uniformly distributed number, equal for equal parts
     */
    static long weight(Object... parts) {
        StringBuilder text = new StringBuilder();
        for (Object part : parts) {
            text.append(part).append('\n');
        }
        return HASH.hashChars(text);
    }

    /** Holds the homes of one service and the backend servers that they were computed from. */
    private record ServiceHomes(List<ServerSlots> servers, Map<SlotKey, String> homes) {

        private static ServiceHomes of(
                String service,
                List<BackendServer> servers,
                List<Candidate> candidates,
                ServiceHomes reusable) {
            List<ServerSlots> slots = servers.stream().map(ServerSlots::of).toList();
            if (reusable != null && reusable.servers.equals(slots)) {
                return reusable;
            }
            return new ServiceHomes(
                    slots, new ServiceAssignment(service, servers, candidates).assign());
        }
    }

    /** Holds the properties of a backend server that the homes of its slots depend on. */
    private record ServerSlots(String name, String availabilityZone, int slots) {

        private static ServerSlots of(BackendServer server) {
            return new ServerSlots(server.name(), server.availabilityZone(), server.slots());
        }
    }

    private record Ranked(String host, long weight) {}
}
