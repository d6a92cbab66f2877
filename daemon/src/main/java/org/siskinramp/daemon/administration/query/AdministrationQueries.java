package org.siskinramp.daemon.administration.query;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.request.RequestKey;

/**
 * Answers operators and support engineers. Futures fail with a {@link
 * org.siskinramp.result.ResultException}.
 */
public interface AdministrationQueries {

    /**
     * Lists the accepted change tickets.
     *
     * @return the tickets in the order of their numbers
     */
    CompletableFuture<List<TicketSummary>> tickets();

    /**
     * Shows a change ticket and where it is in force.
     *
     * @param number the ticket's number
     * @return the ticket
     */
    CompletableFuture<TicketDetail> ticket(long number);

    /**
     * Tells what became of a request.
     *
     * @param key the request
     * @return its history
     */
    CompletableFuture<RequestHistory> request(RequestKey key);

    /**
     * Describes this entry host.
     *
     * @return its status
     */
    CompletableFuture<HostStatus> status();

    /**
     * Tells whether the platform's balancer should send callers to this entry host.
     *
     * @return true if it takes new requests
     */
    boolean isReady();
}
