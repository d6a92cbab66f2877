package org.siskinramp.daemon.caller;

import java.util.concurrent.CompletableFuture;
import org.siskinramp.request.Answer;
import org.siskinramp.request.Request;

/** Processes the requests of callers. */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Processes a request.
     *
     * @param request the request with its complete body
     * @return the complete answer; fails with a {@link org.siskinramp.result.ResultException}
     */
    CompletableFuture<Answer> handle(Request request);
}
