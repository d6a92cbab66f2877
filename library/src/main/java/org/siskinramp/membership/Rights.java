package org.siskinramp.membership;

import java.util.Objects;
import org.siskinramp.slot.SlotHoldings;

/**
 * Pairs the holdings with the end of the authority that they depend on, so that both are read at
 * once.
 *
 * @param holdings the slots
 * @param usableUntil the end in monotonic milliseconds
 */
record Rights(SlotHoldings holdings, long usableUntil) {

    Rights {
        Objects.requireNonNull(holdings, "holdings");
    }
}
