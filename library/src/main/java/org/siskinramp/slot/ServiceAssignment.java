package org.siskinramp.slot;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.siskinramp.configuration.BackendServer;

/**
 * Assigns the slots of one service to hosts by rendezvous hashing with a quota for each host.
 *
 * <p>Every pair of slot and host has a weight. Slots are assigned in descending order of weight,
 * pairs in the same availability zone first, until a host has used up its quota. A first pass
 * limits each host to an even part of the slots of each backend server, so that the slots of a host
 * are spread over many servers.
 */
final class ServiceAssignment {

    private final String service;
    private final List<BackendServer> servers;
    private final List<SlotMap.Candidate> candidates;
    private final Map<String, Integer> remainingQuotas = new HashMap<>();
    private final Map<HostAndServer, Integer> assignedSlots = new HashMap<>();
    private final Map<SlotKey, String> homes = new LinkedHashMap<>();

    ServiceAssignment(
            String service, List<BackendServer> servers, List<SlotMap.Candidate> candidates) {
        this.service = service;
        this.servers = servers;
        this.candidates = candidates;
    }

    /**
     * Computes the homes.
     *
     * @return the home of each slot
     */
    Map<SlotKey, String> assign() {
        assignQuotas();
        List<Pair> pairs = pairs();
        for (Pair pair : pairs) {
            if (assignedSlotsOf(pair) < evenQuota(pair.server())) {
                assignIfFree(pair);
            }
        }
        pairs.forEach(this::assignIfFree);
        return homes;
    }

    private void assignQuotas() {
        int slots = servers.stream().mapToInt(BackendServer::slots).sum();
        Map<String, List<SlotMap.Candidate>> byAvailabilityZone = new TreeMap<>();
        for (SlotMap.Candidate candidate : candidates) {
            byAvailabilityZone
                    .computeIfAbsent(candidate.availabilityZone(), any -> new ArrayList<>())
                    .add(candidate);
        }
        Map<String, Integer> quotasByZone = zoneQuotas(slots, byAvailabilityZone);
        byAvailabilityZone.forEach(
                (availabilityZone, hosts) ->
                        assignQuotas(quotasByZone.get(availabilityZone), hosts));
    }

    private Map<String, Integer> zoneQuotas(
            int slots, Map<String, List<SlotMap.Candidate>> byAvailabilityZone) {
        Map<String, Integer> quotas = new HashMap<>();
        int unassigned = slots;
        for (Map.Entry<String, List<SlotMap.Candidate>> entry : byAvailabilityZone.entrySet()) {
            int quota = slots * entry.getValue().size() / candidates.size();
            quotas.put(entry.getKey(), quota);
            unassigned -= quota;
        }
        List<String> byRemainder = new ArrayList<>(byAvailabilityZone.keySet());
        byRemainder.removeIf(
                zone -> slots * byAvailabilityZone.get(zone).size() % candidates.size() == 0);
        byRemainder.sort(Comparator.comparing(zone -> SlotMap.weight("zone", service, zone)));
        for (String availabilityZone : byRemainder.subList(0, unassigned)) {
            quotas.merge(availabilityZone, 1, Integer::sum);
        }
        return quotas;
    }

    private void assignQuotas(int slots, List<SlotMap.Candidate> hosts) {
        List<SlotMap.Candidate> ordered = new ArrayList<>(hosts);
        ordered.sort(
                Comparator.comparing(
                        candidate -> SlotMap.weight("share", service, candidate.host())));
        for (int position = 0; position < ordered.size(); position++) {
            int extra = position < slots % ordered.size() ? 1 : 0;
            remainingQuotas.put(ordered.get(position).host(), slots / ordered.size() + extra);
        }
    }

    private List<Pair> pairs() {
        List<Pair> pairs = new ArrayList<>();
        for (BackendServer server : servers) {
            for (int index = 0; index < server.slots(); index++) {
                SlotKey slot = new SlotKey(server.name(), index);
                for (SlotMap.Candidate candidate : candidates) {
                    boolean sameZone =
                            candidate.availabilityZone().equals(server.availabilityZone());
                    long weight = SlotMap.weight("home", slot, candidate.host());
                    pairs.add(new Pair(slot, server, candidate.host(), sameZone, weight));
                }
            }
        }
        pairs.sort(
                Comparator.comparing(Pair::sameZone, Comparator.reverseOrder())
                        .thenComparing(Pair::weight, Comparator.reverseOrder())
                        .thenComparing(Pair::slot)
                        .thenComparing(Pair::host));
        return pairs;
    }

    private int evenQuota(BackendServer server) {
        return (server.slots() + candidates.size() - 1) / candidates.size();
    }

    private int assignedSlotsOf(Pair pair) {
        return assignedSlots.getOrDefault(new HostAndServer(pair.host(), pair.server().name()), 0);
    }

    private void assignIfFree(Pair pair) {
        int quota = remainingQuotas.get(pair.host());
        if (quota == 0 || homes.containsKey(pair.slot())) {
            return;
        }
        homes.put(pair.slot(), pair.host());
        remainingQuotas.put(pair.host(), quota - 1);
        assignedSlots.merge(new HostAndServer(pair.host(), pair.server().name()), 1, Integer::sum);
    }

    private record Pair(
            SlotKey slot, BackendServer server, String host, boolean sameZone, long weight) {}

    private record HostAndServer(String host, String server) {}
}
