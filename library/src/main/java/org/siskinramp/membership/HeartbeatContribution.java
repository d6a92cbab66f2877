package org.siskinramp.membership;

import java.util.List;
import org.siskinramp.peer.ServerAllowance;
import org.siskinramp.peer.ServiceSpare;

/**
 * Holds the part of a heartbeat that the routing supplies.
 *
 * @param allowances usable slots of the backend servers whose warm-up this host coordinates, except
 *     of those that heartbeats may omit, and an allowance of -1 for each server that it does not
 *     coordinate although it is the home of the server's slot 0
 * @param coordinatedServerCount how many backend servers have this host as their warm-up
 *     coordinator
 * @param lendableSlots idle slots that this host could lend, by service
 */
public record HeartbeatContribution(
        List<ServerAllowance> allowances,
        int coordinatedServerCount,
        List<ServiceSpare> lendableSlots) {

    /** An empty contribution. */
    public static final HeartbeatContribution NONE =
            new HeartbeatContribution(List.of(), 0, List.of());

    /**
     * Copies the lists so that the contribution cannot change.
     *
     * @param allowances the allowances
     * @param coordinatedServerCount the number of coordinated servers
     * @param lendableSlots the idle slots that this host could lend
     */
    public HeartbeatContribution {
        allowances = List.copyOf(allowances);
        lendableSlots = List.copyOf(lendableSlots);
    }
}
