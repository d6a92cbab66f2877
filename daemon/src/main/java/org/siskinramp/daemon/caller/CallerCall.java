package org.siskinramp.daemon.caller;

import java.util.concurrent.CompletableFuture;
import org.siskinramp.request.Answer;

/** A request whose head was read and accepted. */
public interface CallerCall {

    /**
     * Returns the identifier that answers name.
     *
     * @return the identifier of the request
     */
    String requestId();

    /**
     * Runs the request.
     *
     * @param body its whole body
     * @return the whole answer; fails with a {@link org.siskinramp.result.ResultException};
     *     cancelled if the caller leaves
     */
    CompletableFuture<Answer> run(byte[] body);
}
