package org.siskinramp.daemon.caller;

import java.util.concurrent.CompletableFuture;
import org.siskinramp.request.Answer;
import org.siskinramp.request.Request;

/** Answers the requests of callers. */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Handles a request.
     *
     * @param request the whole request
     * @return the whole answer; fails with a {@link org.siskinramp.result.ResultException}
     */
    CompletableFuture<Answer> handle(Request request);
}
