package org.siskinramp.daemon.administration.query;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.request.RequestKey;

/**
 * Answers the queries of operators and support engineers. Futures fail with a {@link
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
     * Returns a change ticket and the entry hosts on which it is in force.
     *
     * @param number the ticket's number
     * @return the ticket
     */
    CompletableFuture<TicketDetail> ticket(long number);

    /**
     * Returns what is known about a request of a caller.
     *
     * @param key the caller and the request id
     * @return its history
     */
    CompletableFuture<RequestHistory> request(RequestKey key);

    /**
     * Returns the status of this entry host.
     *
     * @return the status
     */
    CompletableFuture<HostStatus> status();

    /**
     * Tells whether the platform's load balancer should send requests to this entry host.
     *
     * @return true if it accepts new requests
     */
    boolean isReady();
}
