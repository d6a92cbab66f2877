package org.siskinramp.daemon.administration.command;

import java.util.concurrent.CompletableFuture;
import org.siskinramp.configuration.AdministrativeState;

/**
 * Carries out the commands of operators. Futures fail with a {@link
 * org.siskinramp.result.ResultException}.
 */
public interface AdministrationCommands {

    /**
     * Files a change ticket.
     *
     * @param json the ticket as JSON text
     * @return the receipt once the ticket is durable
     */
    CompletableFuture<TicketReceipt> fileTicket(String json);

    /**
     * Takes an availability zone out of service or brings it back.
     *
     * @param name the name of the availability zone
     * @param state the new state, in or out
     * @return the receipt
     */
    CompletableFuture<PlaceReceipt> changeAvailabilityZone(String name, AdministrativeState state);

    /**
     * Takes a host out of service or brings it back.
     *
     * @param name the name of the host
     * @param state the new state, in or out
     * @return the receipt
     */
    CompletableFuture<PlaceReceipt> changeHost(String name, AdministrativeState state);
}
