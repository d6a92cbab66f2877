package org.siskinramp.peer;

import java.util.List;

/**
 * Carries one committed change of the configuration, so that a host which cannot reach the table
 * service learns it as well.
 *
 * @param version the version that the change made
 * @param objects the objects that it wrote
 */
public record ConfigurationPush(long version, List<PushedObject> objects) implements PeerMessage {

    /**
     * Copies the list so that the message cannot change.
     *
     * @param version the version
     * @param objects the objects
     */
    public ConfigurationPush {
        objects = List.copyOf(objects);
    }

    /**
     * Holds one object as its row in the table service holds it.
     *
     * @param key the key of the row
     * @param value the content of the row
     */
    public record PushedObject(String key, String value) {}
}
