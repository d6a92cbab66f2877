package org.siskinramp.daemon.administration.query;

import java.util.List;

/**
 * Describes an accepted change ticket and where it is in force.
 *
 * @param summary the ticket in short
 * @param content the ticket's JSON as it was filed
 * @param inForceHosts entry hosts that act on it
 * @param pendingHosts entry hosts that act on an older configuration
 * @param silentHosts listed entry hosts whose configuration is not known at present
 */
public record TicketDetail(
        TicketSummary summary,
        String content,
        List<String> inForceHosts,
        List<String> pendingHosts,
        List<String> silentHosts) {

    /**
     * Copies the lists so that the description cannot change.
     *
     * @param summary the ticket in short
     * @param content the ticket's JSON
     * @param inForceHosts hosts that act on it
     * @param pendingHosts hosts that do not yet
     * @param silentHosts hosts that were not heard
     */
    public TicketDetail {
        inForceHosts = List.copyOf(inForceHosts);
        pendingHosts = List.copyOf(pendingHosts);
        silentHosts = List.copyOf(silentHosts);
    }
}
