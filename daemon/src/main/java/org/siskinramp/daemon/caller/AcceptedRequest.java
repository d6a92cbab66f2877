package org.siskinramp.daemon.caller;

import java.util.concurrent.CompletableFuture;
import org.siskinramp.request.Answer;
import org.siskinramp.request.CallerConnection;

/** A request whose head was read and accepted. */
public interface AcceptedRequest {

    /**
     * Returns the request identifier, which the answer repeats in a header.
     *
     * @return the identifier of the request
     */
    String requestId();

    /**
     * Returns the time by which the request ends, with an answer or without one.
     *
     * @return monotonic milliseconds
     */
    long deadlineMilliseconds();

    /**
     * Tells whether the request may be in progress at the same time as other requests of its
     * connection. Such a request may be started and cancelled, and started again, before it is
     * answered, so it must be idempotent.
     *
     * @return false unless the protocol allows it
     */
    default boolean mayStartEarly() {
        return false;
    }

    /**
     * Processes the request.
     *
     * @param body the complete body of the request
     * @param connection tells whether the caller still waits for the answer; it is asked right
     *     before the request is sent to a backend server
     * @return the complete answer; fails with a {@link org.siskinramp.result.ResultException}. It
     *     is cancelled if the caller closes its connection
     */
    CompletableFuture<Answer> process(byte[] body, CallerConnection connection);
}
