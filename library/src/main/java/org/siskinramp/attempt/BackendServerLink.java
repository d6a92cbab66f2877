package org.siskinramp.attempt;

import java.util.concurrent.CompletableFuture;
import org.siskinramp.configuration.BackendServer;

/** Sends attempts to backend servers. */
public interface BackendServerLink {

    /**
     * Sends an attempt, if it is still permitted right before its first byte is written.
     *
     * @param attempt the attempt
     * @return the complete answer; fails with an {@link AttemptException}
     */
    CompletableFuture<AttemptAnswer> dispatch(Attempt attempt);

    /**
     * Cancels an attempt: closes its connection, so that the server stops processing the request.
     * Does nothing if the attempt has ended.
     *
     * @param attemptNumber the number of the attempt
     */
    void cancel(long attemptNumber);

    /**
     * Probes a backend server for its load.
     *
     * @param server the backend server
     * @return its load report; fails with an {@link AttemptException}
     */
    CompletableFuture<LoadReport> probe(BackendServer server);
}
