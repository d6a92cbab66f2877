package org.siskinramp.slot;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
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
 * slots of each service are spread evenly, to one slot, over the entry hosts and over their
 * availability zones. Backend servers keep their slots whatever their state.
 *
 * <pre>{@code
 * SlotMap map = SlotMap.of(configuration, candidates);
 * Optional<String> home = map.home(new SlotKey("portal-1", 0));
 * }</pre>
 */
public final class SlotMap {

    /** The map without slots. */
    public static final SlotMap EMPTY = new SlotMap(List.of(), Map.of());

    private static final LongHashFunction HASH = LongHashFunction.xx();

    private final List<Candidate> candidates;
    private final Map<SlotKey, String> homes;

    private SlotMap(List<Candidate> candidates, Map<SlotKey, String> homes) {
        this.candidates = candidates;
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
        if (candidates.isEmpty()) {
            return EMPTY;
        }
        List<Candidate> sorted = new ArrayList<>(candidates);
        sorted.sort(Comparator.comparing(Candidate::host));
        Map<SlotKey, String> homes = new LinkedHashMap<>();
        for (Service service : configuration.services()) {
            List<BackendServer> servers = configuration.backendServersOf(service.name());
            homes.putAll(new ServiceAssignment(service.name(), servers, sorted).assign());
        }
        return new SlotMap(List.copyOf(sorted), homes);
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
     * Orders the entry hosts that stand in for the home of a slot.
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
     * Hashes the parts of a rendezvous weight.
     *
     * @param parts the parts
     * @return a number that is spread evenly and equal for equal parts
     */
    static long weight(Object... parts) {
        StringBuilder text = new StringBuilder();
        for (Object part : parts) {
            text.append(part).append('\n');
        }
        return HASH.hashChars(text);
    }

    private record Ranked(String host, long weight) {}
}
