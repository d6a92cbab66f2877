package org.siskinramp.membership;

import java.util.Objects;
import org.siskinramp.slot.SlotHoldings;

/**
 * Pairs the holdings with the end of the authority that they depend on, so that both can be read
 * atomically.
 *
 * @param holdings the slots
 * @param usableUntil when the right to use them ends, in monotonic milliseconds
 */
record LeasedHoldings(SlotHoldings holdings, long usableUntil) {

    LeasedHoldings {
        Objects.requireNonNull(holdings, "holdings");
    }
}
