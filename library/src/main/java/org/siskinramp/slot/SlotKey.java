package org.siskinramp.slot;

/**
 * Identifies one slot of a backend server: the right to have one request in progress there.
 *
 * @param backendServer the backend server's name
 * @param index the index of the slot, from 0
 */
public record SlotKey(String backendServer, int index) implements Comparable<SlotKey> {

    @Override
    public int compareTo(SlotKey other) {
        int order = backendServer.compareTo(other.backendServer);
        return order != 0 ? order : Integer.compare(index, other.index);
    }

    @Override
    public String toString() {
        return backendServer + "#" + index;
    }
}
