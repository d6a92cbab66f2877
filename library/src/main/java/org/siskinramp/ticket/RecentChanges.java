package org.siskinramp.ticket;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.siskinramp.peer.ConfigurationPush;

/** Retains the newest committed configuration changes that this host received. */
final class RecentChanges {

    private static final int MAXIMUM_RETAINED_CHANGES = 64;

    private final NavigableMap<Long, ConfigurationPush> changes = new TreeMap<>();

    void add(ConfigurationPush change) {
        changes.putIfAbsent(change.version(), change);
        while (changes.size() > MAXIMUM_RETAINED_CHANGES) {
            changes.pollFirstEntry();
        }
    }

    /**
     * Returns the changes that follow a version without a gap.
     *
     * @param version the version
     * @return the changes in order, empty if the one after the version is not retained
     */
    List<ConfigurationPush> after(long version) {
        List<ConfigurationPush> following = new ArrayList<>();
        for (ConfigurationPush change : changes.tailMap(version, false).values()) {
            if (change.version() != version + following.size() + 1) {
                break;
            }
            following.add(change);
        }
        return following;
    }
}
