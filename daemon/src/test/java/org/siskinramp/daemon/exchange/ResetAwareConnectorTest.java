package org.siskinramp.daemon.exchange;

import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Loading TLS classes would delay a restart, during which the host serves no requests. */
final class ResetAwareConnectorTest {

    @Test
    void startsWithoutATlsContext() throws Exception {
        ResetAwareConnector connector = new ResetAwareConnector();
        connector.start();
        try {
            // The protocols are selected only when a TLS context is created.
            assertThrows(
                    NullPointerException.class,
                    connector.getSslContextFactory()::getSelectedProtocols);
        } finally {
            connector.stop();
        }
    }
}
