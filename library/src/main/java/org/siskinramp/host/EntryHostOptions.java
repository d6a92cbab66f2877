package org.siskinramp.host;

import org.siskinramp.ledger.LedgerOptions;
import org.siskinramp.membership.MembershipOptions;
import org.siskinramp.routing.RoutingOptions;
import org.siskinramp.ticket.FollowerOptions;

/**
 * Holds the options of all parts of an entry host.
 *
 * @param membership times of the lease, equal on all hosts
 * @param routing times, counts and budgets of the routing
 * @param ledger times and budgets of the claims
 * @param follower how often the configuration is read
 * @param tickIntervalMilliseconds how often the routing looks for what is due
 */
public record EntryHostOptions(
        MembershipOptions membership,
        RoutingOptions routing,
        LedgerOptions ledger,
        FollowerOptions follower,
        long tickIntervalMilliseconds) {

    private static final long TICK_INTERVAL_MILLISECONDS = 5;

    /**
     * Returns the options used unless told otherwise.
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
     * Returns the same options with another routing.
     *
     * @param newRouting times, counts and budgets of the routing
     * @return the changed options
     */
    public EntryHostOptions withRouting(RoutingOptions newRouting) {
        return new EntryHostOptions(
                membership, newRouting, ledger, follower, tickIntervalMilliseconds);
    }
}
