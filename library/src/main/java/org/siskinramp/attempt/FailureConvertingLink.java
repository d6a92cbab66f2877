package org.siskinramp.attempt;

import java.util.concurrent.CompletableFuture;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.result.Futures;

/**
 * Converts exceptions that a link throws into failed futures, so that each attempt and each probe
 * ends, and whoever sent it gives back what it has reserved.
 */
public final class FailureConvertingLink implements BackendServerLink {

    private final BackendServerLink link;

    /**
     * Wraps a link.
     *
     * @param link the link that sends the attempts and probes
     */
    public FailureConvertingLink(BackendServerLink link) {
        this.link = link;
    }

    @Override
    public CompletableFuture<AttemptAnswer> dispatch(Attempt attempt) {
        return Futures.call(() -> link.dispatch(attempt));
    }

    @Override
    public void cancel(long attemptNumber) {
        link.cancel(attemptNumber);
    }

    @Override
    public CompletableFuture<LoadReport> probe(BackendServer server) {
        return Futures.call(() -> link.probe(server));
    }
}
