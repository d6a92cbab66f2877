package org.siskinramp.standin.platform;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.siskinramp.platform.ListedHost;

/** Holds the list of entry hosts. */
final class HostList {

    private final NavigableMap<String, Item> hosts = new TreeMap<>();

    synchronized void put(Item host) {
        hosts.put(host.name(), host);
    }

    synchronized void remove(String name) {
        hosts.remove(name);
    }

    synchronized Hosts toHosts() {
        return new Hosts(List.copyOf(hosts.values()));
    }

    /**
     * The answer to a read of the list.
     *
     * @param hosts the entry hosts in name order
     */
    record Hosts(List<Item> hosts) {}

    /**
     * Describes one entry host.
     *
     * @param name the name
     * @param availabilityZone the availability zone
     * @param peerAddress the address on which it accepts connections of other entry hosts
     * @param leaving whether the host is about to stop
     */
    record Item(
            @JsonProperty(required = true) String name,
            @JsonProperty(required = true) String availabilityZone,
            @JsonProperty(required = true) String peerAddress,
            boolean leaving) {

        static Item of(ListedHost host) {
            return new Item(
                    host.name(), host.availabilityZone(), host.peerAddress(), host.leaving());
        }
    }
}
