package org.siskinramp.daemon.settings;

import java.util.Locale;
import org.siskinramp.routing.LoadBalancingPolicy;
import org.siskinramp.routing.RoutingOptions;

/** Names how an entry host chooses backend servers. All but the first are for measurements. */
public enum RoutingPolicy {
    /** Each slot belongs to one entry host, which may lend it. */
    SLOTS,
    /** Each slot belongs to one entry host, which keeps it. */
    SLOTS_WITHOUT_LENDING,
    /** Any entry host sends to any server: a random one. */
    RANDOM,
    /** Any entry host sends to any server: each in turn. */
    ROUND_ROBIN,
    /** Any entry host sends to any server: the one with the fewest requests of its own. */
    LEAST_REQUEST,
    /** Any entry host sends to any server: the less loaded of two random ones. */
    TWO_CHOICES;

    /**
     * Returns the word that stands for this policy in a settings file.
     *
     * @return the name in lower case with hyphens
     */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the routing options of this policy, with the defaults for all else.
     *
     * @return new options
     */
    public RoutingOptions options() {
        return switch (this) {
            case SLOTS -> RoutingOptions.builder().build();
            case SLOTS_WITHOUT_LENDING -> RoutingOptions.builder().loanMessagesPerSecond(0).build();
            case RANDOM -> withoutSlots(LoadBalancingPolicy.random());
            case ROUND_ROBIN -> withoutSlots(LoadBalancingPolicy.roundRobin());
            case LEAST_REQUEST -> withoutSlots(LoadBalancingPolicy.leastRequests());
            case TWO_CHOICES -> withoutSlots(LoadBalancingPolicy.twoChoices());
        };
    }

    private static RoutingOptions withoutSlots(LoadBalancingPolicy choice) {
        return RoutingOptions.builder().slotsOwned(false).loadBalancingPolicy(choice).build();
    }
}
