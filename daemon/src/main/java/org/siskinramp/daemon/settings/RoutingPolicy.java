package org.siskinramp.daemon.settings;

import java.util.Locale;
import org.siskinramp.routing.LoadBalancingPolicy;
import org.siskinramp.routing.RoutingOptions;

/** Policies for the choice of backend servers. All but the first are for measurements only. */
public enum RoutingPolicy {
    /** Each slot belongs to one entry host, which may lend it to another one. */
    SLOTS,
    /** Each slot belongs to one entry host, which never lends it. */
    SLOTS_WITHOUT_LENDING,
    /** Slots belong to no entry host; chooses a random server. */
    RANDOM,
    /** Slots belong to no entry host; chooses the servers in turn. */
    ROUND_ROBIN,
    /**
     * Slots belong to no entry host; chooses the server with the fewest requests in progress from
     * this entry host.
     */
    LEAST_REQUEST,
    /** Slots belong to no entry host; chooses the less loaded of two random servers. */
    TWO_CHOICES;

    /**
     * Returns the label used in settings files.
     *
     * @return the name in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the routing options for this policy, with defaults for all other options.
     *
     * @return the options
     */
    public RoutingOptions options() {
        return switch (this) {
            case SLOTS -> RoutingOptions.builder().build();
            case SLOTS_WITHOUT_LENDING -> RoutingOptions.builder().loanMessagesPerSecond(0).build();
            case RANDOM -> withoutSlotOwnership(LoadBalancingPolicy.random());
            case ROUND_ROBIN -> withoutSlotOwnership(LoadBalancingPolicy.roundRobin());
            case LEAST_REQUEST -> withoutSlotOwnership(LoadBalancingPolicy.leastRequests());
            case TWO_CHOICES -> withoutSlotOwnership(LoadBalancingPolicy.twoChoices());
        };
    }

    private static RoutingOptions withoutSlotOwnership(LoadBalancingPolicy policy) {
        return RoutingOptions.builder().slotsOwned(false).loadBalancingPolicy(policy).build();
    }
}
