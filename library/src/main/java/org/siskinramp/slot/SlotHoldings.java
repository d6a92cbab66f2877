package org.siskinramp.slot;

import java.util.Set;

/**
 * Holds the slots that this host may use or lend, as computed by the membership.
 *
 * <p>A slot that is added may be used at once: the membership has waited until no other host can
 * have a request in progress in it. A slot that is removed must get no new request; once it is
 * idle, the routing reports it with {@link SlotReleaseListener#released}.
 *
 * @param slots the slots that this host holds
 * @param configurationVersion the version of the configuration that they were computed from
 * @param viewVersion the version of the membership view that they were computed from
 */
public record SlotHoldings(Set<SlotKey> slots, long configurationVersion, long viewVersion) {

    /** No slots at all. */
    public static final SlotHoldings NONE = new SlotHoldings(Set.of(), 0, 0);

    /**
     * Copies the slots, so that the holdings are immutable.
     *
     * @param slots the slots
     * @param configurationVersion the configuration version
     * @param viewVersion the version of the membership view
     */
    public SlotHoldings {
        slots = Set.copyOf(slots);
    }

    /**
     * Compares the versions, which never decrease while a host runs.
     *
     * @param earlier holdings that were computed before
     * @return false if a version is lower than the earlier one
     */
    public boolean isNotOlderThan(SlotHoldings earlier) {
        return configurationVersion >= earlier.configurationVersion
                && viewVersion >= earlier.viewVersion;
    }
}
