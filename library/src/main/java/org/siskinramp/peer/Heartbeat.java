package org.siskinramp.peer;

import java.util.List;

/**
 * Shows a peer that the sender is alive, acknowledges the peer's last heartbeat, and names the
 * hosts that the sender suspects to have failed.
 *
 * @param incarnation an identifier that changes whenever the sender restarts
 * @param sentMilliseconds the sender's monotonic time, in milliseconds
 * @param viewVersion the version of the membership that the sender has in force
 * @param configurationVersion the version of the configuration that the sender has in force
 * @param acknowledgements the acknowledgement of the last heartbeat received from the receiver;
 *     none or one entry
 * @param suspectedHosts hosts whose heartbeats the sender promises not to acknowledge for now
 * @param allowances usable slots of the backend servers whose warm-up the sender coordinates; of
 *     the servers whose slot 0 has its home at the sender, those that are fully warm may be left
 *     out, and those that the sender does not coordinate are listed with an allowance of -1
 * @param coordinatedServerCount the number of backend servers whose warm-up the sender coordinates,
 *     including those that are left out of the allowances
 * @param lendableSlots lendable slots by service
 */
public record Heartbeat(
        String incarnation,
        long sentMilliseconds,
        long viewVersion,
        long configurationVersion,
        List<Acknowledgement> acknowledgements,
        List<String> suspectedHosts,
        List<ServerAllowance> allowances,
        int coordinatedServerCount,
        List<ServiceSpare> lendableSlots)
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
     * @param allowances the allowances of backend servers
     * @param coordinatedServerCount the number of servers that the sender coordinates
     * @param lendableSlots lendable slots by service
     */
    public Heartbeat {
        acknowledgements = List.copyOf(acknowledgements);
        suspectedHosts = List.copyOf(suspectedHosts);
        allowances = List.copyOf(allowances);
        lendableSlots = List.copyOf(lendableSlots);
    }
}
