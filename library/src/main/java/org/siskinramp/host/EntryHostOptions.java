package org.siskinramp.host;

import org.siskinramp.ledger.LedgerOptions;
import org.siskinramp.membership.MembershipOptions;
import org.siskinramp.routing.RoutingOptions;
import org.siskinramp.ticket.FollowerOptions;

/**
 * Holds the options of all parts of an entry host.
 *
 * @param membership intervals and time limits of the lease, equal on all hosts
 * @param routing time limits, counts and budgets of the routing
 * @param ledger time limits and budgets of the claims
 * @param follower how often the configuration is read
 * @param tickIntervalMilliseconds interval between two runs of the routing's periodic work, in
 *     milliseconds
 */
public record EntryHostOptions(
        MembershipOptions membership,
        RoutingOptions routing,
        LedgerOptions ledger,
        FollowerOptions follower,
        long tickIntervalMilliseconds) {

    private static final long TICK_INTERVAL_MILLISECONDS = 50;

    /**
     * Returns the default options.
     *
     * @return the defaults
     */
    public static EntryHostOptions defaults() {
        return new EntryHostOptions(
                MembershipOptions.builder().build(),
                RoutingOptions.builder().build(),
                LedgerOptions.builder().build(),
                FollowerOptions.DEFAULT,
                TICK_INTERVAL_MILLISECONDS);
    }

    /**
     * Returns a copy with other routing options.
     *
     * @param newRouting time limits, counts and budgets of the routing
     * @return the copy
     */
    public EntryHostOptions withRouting(RoutingOptions newRouting) {
        return new EntryHostOptions(
                membership, newRouting, ledger, follower, tickIntervalMilliseconds);
    }
}
