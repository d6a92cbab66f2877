package org.siskinramp.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.siskinramp.configuration.BackendServer;

class FailureConvertingLinkTest {

    private final BackendServerLink link =
            new FailureConvertingLink(
                    new BackendServerLink() {
                        @Override
                        public CompletableFuture<AttemptAnswer> dispatch(Attempt attempt) {
                            throw new IllegalArgumentException("address");
                        }

                        @Override
                        public void cancel(long attemptNumber) {}

                        @Override
                        public CompletableFuture<LoadReport> probe(BackendServer server) {
                            throw new StackOverflowError();
                        }
                    });

    @Test
    void attemptsAndProbesFailInsteadOfThrowing() {
        CompletionException attempt =
                assertThrows(CompletionException.class, link.dispatch(null)::join);
        assertEquals("address", attempt.getCause().getMessage());
        CompletionException probe = assertThrows(CompletionException.class, link.probe(null)::join);
        assertEquals(StackOverflowError.class, probe.getCause().getClass());
    }
}
