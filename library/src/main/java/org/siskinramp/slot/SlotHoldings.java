package org.siskinramp.slot;

import java.util.Set;

/**
 * Holds the slots that this host may use or lend at a moment, as the membership decided.
 *
 * <p>A slot that appears may be used at once: the membership has already waited until nobody else
 * can have a request in progress there. A slot that disappears must take no new request; once it is
 * idle the routing says so with {@link SlotReleases#released}.
 *
 * @param slots the slots that this host holds
 * @param configurationVersion the configuration that they were computed from
 * @param viewVersion the membership version that they were computed from
 */
public record SlotHoldings(Set<SlotKey> slots, long configurationVersion, long viewVersion) {

    /** No slots at all. */
    public static final SlotHoldings NONE = new SlotHoldings(Set.of(), 0, 0);

    /**
     * Copies the slots so that the holdings cannot change.
     *
     * @param slots the slots
     * @param configurationVersion the configuration version
     * @param viewVersion the membership version
     */
    public SlotHoldings {
        slots = Set.copyOf(slots);
    }

    /**
     * Compares the versions. They never fall while a host runs.
     *
     * @param earlier holdings that were decided before
     * @return false if a version is lower than the earlier one
     */
    public boolean isNotOlderThan(SlotHoldings earlier) {
        return configurationVersion >= earlier.configurationVersion
                && viewVersion >= earlier.viewVersion;
    }
}
