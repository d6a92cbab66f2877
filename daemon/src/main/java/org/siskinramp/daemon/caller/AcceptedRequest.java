package org.siskinramp.daemon.caller;

import java.util.concurrent.CompletableFuture;
import org.siskinramp.request.Answer;

/** A request whose head was read and accepted. */
public interface AcceptedRequest {

    /**
     * Returns the request identifier, which the answer repeats in a header.
     *
     * @return the identifier of the request
     */
    String requestId();

    /**
     * Processes the request.
     *
     * @param body the complete body of the request
     * @return the complete answer; fails with a {@link org.siskinramp.result.ResultException}. It
     *     is cancelled if the caller closes its connection
     */
    CompletableFuture<Answer> process(byte[] body);
}
