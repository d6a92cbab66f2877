package org.siskinramp.follow;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.siskinramp.fleet.ServerEntry;
import org.siskinramp.gateway.Gateway;
import org.siskinramp.rollout.RolloutRows;

/**
 * Applies changes of the servers table and the operator table to a gateway. Not thread-safe: each
 * of its apply methods may be called by one follower only.
 */
public final class GatewayFeed {

    /** A live server publishes its entry again within two seconds after the store recovers. */
    private static final long REPUBLISH_WAIT_MILLISECONDS = 2_300;

    private final Gateway gateway;
    private final Consumer<RolloutRows> rolloutListener;
    private final EvacuatedZones evacuatedZones = new EvacuatedZones();

    /**
     * Creates a feed that ignores orders of roll-outs.
     *
     * @param gateway the gateway
     */
    public GatewayFeed(Gateway gateway) {
        this(gateway, rows -> {});
    }

    /**
     * Creates a feed.
     *
     * @param gateway the gateway
     * @param rolloutListener receives the orders of roll-outs
     */
    public GatewayFeed(Gateway gateway, Consumer<RolloutRows> rolloutListener) {
        this.gateway = gateway;
        this.rolloutListener = rolloutListener;
    }

    /**
     * Applies changes of the servers table.
     *
     * @param changes the changes
     * @param timeSinceReadGapMilliseconds returns the time since the end of the last read gap, in
     *     milliseconds
     */
    public void applyServerChanges(
            Changes<ServerChange> changes, LongSupplier timeSinceReadGapMilliseconds) {
        long gracePeriodMilliseconds =
                gracePeriodMilliseconds(timeSinceReadGapMilliseconds.getAsLong());
        if (gracePeriodMilliseconds == 0) {
            gateway.endGracePeriods();
        }
        if (changes.isSnapshot()) {
            List<ServerEntry> entries =
                    changes.items().stream()
                            .map(ServerChange::entry)
                            .flatMap(Optional::stream)
                            .toList();
            gateway.replaceServers(entries, gracePeriodMilliseconds);
            return;
        }
        for (ServerChange change : changes.items()) {
            change.entry()
                    .ifPresentOrElse(
                            gateway::putServer,
                            () -> gateway.removeServer(change.name(), gracePeriodMilliseconds));
        }
    }

    /**
     * Returns the grace period of a server whose entry is missing. After a read gap the entry may
     * have expired only because the server could not reach the store to renew it.
     *
     * @param timeSinceReadGapMilliseconds the time since the end of the last read gap, in
     *     milliseconds
     * @return milliseconds, 0 if the server is to be removed at once
     */
    public static long gracePeriodMilliseconds(long timeSinceReadGapMilliseconds) {
        return Math.max(0, REPUBLISH_WAIT_MILLISECONDS - timeSinceReadGapMilliseconds);
    }

    /**
     * Applies changes of the operator table: routes, evacuated availability zones and roll-outs.
     *
     * @param changes the changes
     */
    public void applyOperatorChanges(Changes<OperatorChange> changes) {
        for (OperatorChange change : changes.items()) {
            if (change instanceof OperatorChange.Routes routes) {
                gateway.updateRoutes(routes.routes());
            } else if (change instanceof OperatorChange.Rollouts rollouts) {
                rolloutListener.accept(
                        changes.isRestored() ? rollouts.rows().asRestored() : rollouts.rows());
            }
        }
        evacuatedZones.apply(changes);
        gateway.setEvacuatedZones(evacuatedZones.names());
    }
}
