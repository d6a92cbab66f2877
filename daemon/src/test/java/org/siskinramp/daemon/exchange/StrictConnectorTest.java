package org.siskinramp.daemon.exchange;

import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** A host that starts again under load serves nobody until its connectors are there. */
final class StrictConnectorTest {

    @Test
    void preparesNoTlsAtItsStart() throws Exception {
        StrictConnector connector = new StrictConnector();
        connector.start();
        try {
            // Protocols are selected when a TLS context is made.
            assertThrows(
                    NullPointerException.class,
                    connector.getSslContextFactory()::getSelectedProtocols);
        } finally {
            connector.stop();
        }
    }
}
