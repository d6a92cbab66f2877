package org.siskinramp.ticket;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.siskinramp.peer.ConfigurationPush;

/** Keeps the latest committed changes of the configuration that this host was told of. */
final class RecentChanges {

    private static final int CHANGES_KEPT = 64;

    private final NavigableMap<Long, ConfigurationPush> changes = new TreeMap<>();

    void add(ConfigurationPush change) {
        changes.putIfAbsent(change.version(), change);
        while (changes.size() > CHANGES_KEPT) {
            changes.pollFirstEntry();
        }
    }

    /**
     * Lists the changes that follow a version without a gap.
     *
     * @param version the version
     * @return the changes in order, empty if the next one is not known
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
