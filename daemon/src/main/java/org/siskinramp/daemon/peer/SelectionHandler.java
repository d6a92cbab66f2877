package org.siskinramp.daemon.peer;

import java.io.IOException;
import java.nio.channels.SelectionKey;

/** Handles the readiness events that the selector reports for one socket. */
@FunctionalInterface
interface SelectionHandler {

    void onReady(SelectionKey key, long nowMilliseconds) throws IOException;
}
