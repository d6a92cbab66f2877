package org.siskinramp.standin.http;

/** Handles requests; an answer may be sent after the handler has returned. */
@FunctionalInterface
public interface ExchangeHandler {

    /**
     * Handles a request. If this method throws a {@link org.siskinramp.result.ResultException}, the
     * request is answered with its status and message.
     *
     * @param exchange the request, which also sends the answer
     */
    void handle(HttpExchange exchange);
}
