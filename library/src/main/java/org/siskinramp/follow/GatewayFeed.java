package org.siskinramp.follow;

import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.siskinramp.fleet.ServerEntry;
import org.siskinramp.gateway.Gateway;

/** Gives a gateway what the followed tables tell. Each method is called by one follower only. */
public final class GatewayFeed {

    /** A live server publishes itself again within two seconds after the store is back. */
    private static final long REPUBLISH_MILLISECONDS = 2_300;

    private final Gateway gateway;
    private final EvacuatedZones evacuated = new EvacuatedZones();

    /**
     * Creates a feed.
     *
     * @param gateway the gateway
     */
    public GatewayFeed(Gateway gateway) {
        this.gateway = gateway;
    }

    /**
     * Takes entries of backend servers.
     *
     * @param changes what was read
     * @param sinceGap tells how long ago a time without reads ended, in milliseconds
     */
    public void takeServers(Changes<ServerChange> changes, LongSupplier sinceGap) {
        long kept = keptMilliseconds(sinceGap.getAsLong());
        if (kept == 0) {
            gateway.dropLapsed();
        }
        if (changes.whole()) {
            List<ServerEntry> entries =
                    changes.items().stream()
                            .map(ServerChange::entry)
                            .flatMap(Optional::stream)
                            .toList();
            gateway.putAll(entries, kept);
            return;
        }
        for (ServerChange change : changes.items()) {
            change.entry().ifPresentOrElse(gateway::put, () -> gateway.remove(change.name(), kept));
        }
    }

    /**
     * Returns how long a server whose entry went is kept, since it may publish itself again.
     *
     * @param sinceGap how long ago a time without reads ended, in milliseconds
     * @return milliseconds, 0 if it is gone
     */
    public static long keptMilliseconds(long sinceGap) {
        return Math.max(0, REPUBLISH_MILLISECONDS - sinceGap);
    }

    /**
     * Takes what operators set.
     *
     * @param changes what was read
     */
    public void takeOperator(Changes<OperatorChange> changes) {
        for (OperatorChange change : changes.items()) {
            if (change instanceof OperatorChange.Routes routes) {
                gateway.follow(routes.routes());
            }
        }
        evacuated.follow(changes);
        gateway.evacuate(evacuated.names());
    }
}
