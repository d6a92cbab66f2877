package org.siskinramp.standin.http;

/** Answers requests, at once or later. */
@FunctionalInterface
public interface ExchangeHandler {

    /**
     * Takes a request. A {@link org.siskinramp.result.ResultException} becomes its answer.
     *
     * @param exchange the request and its answer
     */
    void handle(HttpExchange exchange);
}
