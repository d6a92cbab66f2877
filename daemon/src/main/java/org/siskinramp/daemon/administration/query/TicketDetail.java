package org.siskinramp.daemon.administration.query;

import java.util.List;

/**
 * An accepted change ticket and the entry hosts on which it is in force.
 *
 * @param summary the summary of the ticket
 * @param content the ticket as JSON text, with every default filled in
 * @param inForceHosts the entry hosts on which it is in force
 * @param pendingHosts the entry hosts on which an older configuration is in force
 * @param silentHosts the entry hosts whose configuration version is unknown, since no heartbeat has
 *     arrived for a lease term
 */
public record TicketDetail(
        TicketSummary summary,
        String content,
        List<String> inForceHosts,
        List<String> pendingHosts,
        List<String> silentHosts) {

    /**
     * Copies the lists so that the record cannot change.
     *
     * @param summary the summary of the ticket
     * @param content the ticket as JSON text
     * @param inForceHosts the entry hosts on which it is in force
     * @param pendingHosts the entry hosts on which it is not yet in force
     * @param silentHosts the entry hosts whose configuration version is unknown
     */
    public TicketDetail {
        inForceHosts = List.copyOf(inForceHosts);
        pendingHosts = List.copyOf(pendingHosts);
        silentHosts = List.copyOf(silentHosts);
    }
}
