package org.siskinramp.peer;

import java.util.List;

/**
 * Tells a peer that its sender lives, what the sender heard from the peer, and what it suspects.
 *
 * @param incarnation an identifier that changes whenever the sender starts anew
 * @param sentMilliseconds the sender's monotonic time
 * @param viewVersion the membership version that the sender acts on
 * @param configurationVersion the configuration that the sender acts on
 * @param acknowledgements the last heartbeat heard from the receiver; none or one entry
 * @param suspectedHosts hosts that the sender promises not to acknowledge for now
 * @param allowances usable slots of the backend servers whose warmth the sender judges, only those
 *     that are not fully warm
 * @param judgedServers how many backend servers the sender judges, so that the receiver knows that
 *     the list is complete
 * @param spares idle slots by service
 */
public record Heartbeat(
        String incarnation,
        long sentMilliseconds,
        long viewVersion,
        long configurationVersion,
        List<Acknowledgement> acknowledgements,
        List<String> suspectedHosts,
        List<ServerAllowance> allowances,
        int judgedServers,
        List<ServiceSpare> spares)
        implements PeerMessage {

    /**
     * Copies the lists so that the message cannot change.
     *
     * @param incarnation the sender's incarnation
     * @param sentMilliseconds the sender's monotonic time
     * @param viewVersion the membership version
     * @param configurationVersion the configuration version
     * @param acknowledgements the acknowledgement for the receiver
     * @param suspectedHosts the suspected hosts
     * @param allowances the allowances below the full number of slots
     * @param judgedServers how many servers the sender judges
     * @param spares idle slots by service
     */
    public Heartbeat {
        acknowledgements = List.copyOf(acknowledgements);
        suspectedHosts = List.copyOf(suspectedHosts);
        allowances = List.copyOf(allowances);
        spares = List.copyOf(spares);
    }
}
