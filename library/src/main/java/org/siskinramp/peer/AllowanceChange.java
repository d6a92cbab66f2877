package org.siskinramp.peer;

import java.util.List;

/**
 * Tells at once that backend servers bear less or more than before, ahead of the next heartbeat.
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
