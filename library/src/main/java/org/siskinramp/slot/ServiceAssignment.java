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
 * Assigns the slots of one service by rendezvous hashing with an upper bound for each host.
 *
 * <p>Every pair of slot and host has a weight. Pairs are taken in falling order of weight, those in
 * one availability zone first, as long as the host has not reached its share. A first round allows
 * a host only an even part of each backend server, so that its slots spread over many servers.
 */
final class ServiceAssignment {

    private final String service;
    private final List<BackendServer> servers;
    private final List<SlotMap.Candidate> candidates;
    private final Map<String, Integer> remainingShares = new HashMap<>();
    private final Map<HostAndServer, Integer> taken = new HashMap<>();
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
        shareOut();
        List<Pair> pairs = pairs();
        for (Pair pair : pairs) {
            if (takenBy(pair) < evenPart(pair.server())) {
                offer(pair);
            }
        }
        pairs.forEach(this::offer);
        return homes;
    }

    private void shareOut() {
        int slots = servers.stream().mapToInt(BackendServer::slots).sum();
        Map<String, List<SlotMap.Candidate>> byAvailabilityZone = new TreeMap<>();
        for (SlotMap.Candidate candidate : candidates) {
            byAvailabilityZone
                    .computeIfAbsent(candidate.availabilityZone(), any -> new ArrayList<>())
                    .add(candidate);
        }
        Map<String, Integer> zoneShares = zoneShares(slots, byAvailabilityZone);
        byAvailabilityZone.forEach(
                (availabilityZone, hosts) -> shareOut(zoneShares.get(availabilityZone), hosts));
    }

    private Map<String, Integer> zoneShares(
            int slots, Map<String, List<SlotMap.Candidate>> byAvailabilityZone) {
        Map<String, Integer> shares = new HashMap<>();
        int left = slots;
        for (Map.Entry<String, List<SlotMap.Candidate>> entry : byAvailabilityZone.entrySet()) {
            int share = slots * entry.getValue().size() / candidates.size();
            shares.put(entry.getKey(), share);
            left -= share;
        }
        List<String> byRemainder = new ArrayList<>(byAvailabilityZone.keySet());
        byRemainder.removeIf(
                zone -> slots * byAvailabilityZone.get(zone).size() % candidates.size() == 0);
        byRemainder.sort(Comparator.comparing(zone -> SlotMap.weight("zone", service, zone)));
        for (String availabilityZone : byRemainder.subList(0, left)) {
            shares.merge(availabilityZone, 1, Integer::sum);
        }
        return shares;
    }

    private void shareOut(int slots, List<SlotMap.Candidate> hosts) {
        List<SlotMap.Candidate> ordered = new ArrayList<>(hosts);
        ordered.sort(
                Comparator.comparing(
                        candidate -> SlotMap.weight("share", service, candidate.host())));
        for (int position = 0; position < ordered.size(); position++) {
            int extra = position < slots % ordered.size() ? 1 : 0;
            remainingShares.put(ordered.get(position).host(), slots / ordered.size() + extra);
        }
    }

    private List<Pair> pairs() {
        List<Pair> pairs = new ArrayList<>();
        for (BackendServer server : servers) {
            for (int index = 0; index < server.slots(); index++) {
                SlotKey slot = new SlotKey(server.name(), index);
                for (SlotMap.Candidate candidate : candidates) {
                    boolean near = candidate.availabilityZone().equals(server.availabilityZone());
                    long weight = SlotMap.weight("home", slot, candidate.host());
                    pairs.add(new Pair(slot, server, candidate.host(), near, weight));
                }
            }
        }
        pairs.sort(
                Comparator.comparing(Pair::near, Comparator.reverseOrder())
                        .thenComparing(Pair::weight, Comparator.reverseOrder())
                        .thenComparing(Pair::slot)
                        .thenComparing(Pair::host));
        return pairs;
    }

    private int evenPart(BackendServer server) {
        return (server.slots() + candidates.size() - 1) / candidates.size();
    }

    private int takenBy(Pair pair) {
        return taken.getOrDefault(new HostAndServer(pair.host(), pair.server().name()), 0);
    }

    private void offer(Pair pair) {
        int share = remainingShares.get(pair.host());
        if (share == 0 || homes.containsKey(pair.slot())) {
            return;
        }
        homes.put(pair.slot(), pair.host());
        remainingShares.put(pair.host(), share - 1);
        taken.merge(new HostAndServer(pair.host(), pair.server().name()), 1, Integer::sum);
    }

    private record Pair(
            SlotKey slot, BackendServer server, String host, boolean near, long weight) {}

    private record HostAndServer(String host, String server) {}
}
