package org.siskinramp.peer;

import java.util.List;

/**
 * Announces changed allowances of backend servers at once, ahead of the next heartbeat.
 *
 * @param allowances the new allowances
 */
public record AllowanceChange(List<ServerAllowance> allowances) implements PeerMessage {

    /**
     * Copies the list so that the message cannot change.
     *
     * @param allowances the new allowances
     */
    public AllowanceChange {
        allowances = List.copyOf(allowances);
    }
}
