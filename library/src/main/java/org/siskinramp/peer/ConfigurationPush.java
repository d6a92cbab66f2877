package org.siskinramp.peer;

import java.util.List;

/**
 * Carries one committed change of the configuration to hosts that may be unable to reach the table
 * service.
 *
 * @param version the configuration version that the change created
 * @param objects the objects that the change wrote
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
     * A configuration object as stored in its row of the table service.
     *
     * @param key the key of the row
     * @param value the content of the row
     */
    public record PushedObject(String key, String value) {}
}
