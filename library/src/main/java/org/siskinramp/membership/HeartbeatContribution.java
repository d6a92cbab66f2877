package org.siskinramp.membership;

import java.util.List;
import org.siskinramp.peer.ServerAllowance;
import org.siskinramp.peer.ServiceSpare;

/**
 * Holds what the routing adds to a heartbeat.
 *
 * @param allowances usable slots of judged backend servers that are not fully warm
 * @param judgedServers how many backend servers this host judges
 * @param spares idle slots by service
 */
public record HeartbeatContribution(
        List<ServerAllowance> allowances, int judgedServers, List<ServiceSpare> spares) {

    /** Nothing to add. */
    public static final HeartbeatContribution NONE =
            new HeartbeatContribution(List.of(), 0, List.of());

    /**
     * Copies the lists so that the contribution cannot change.
     *
     * @param allowances the allowances
     * @param judgedServers the number of judged servers
     * @param spares the spares
     */
    public HeartbeatContribution {
        allowances = List.copyOf(allowances);
        spares = List.copyOf(spares);
    }
}
