package org.siskinramp.daemon.exchange;

import java.util.concurrent.CompletableFuture;

/** An exchange, which is started once. */
public interface ExchangeCall {

    /** Sends the request, unless the exchange was cancelled before. */
    void start();

    /**
     * Returns the future of the answer.
     *
     * @return the complete answer; fails with an {@link org.siskinramp.attempt.AttemptException}
     */
    CompletableFuture<ExchangeAnswer> answer();

    /** Closes the connection and fails the answer, unless the exchange has ended. */
    void cancel();
}
