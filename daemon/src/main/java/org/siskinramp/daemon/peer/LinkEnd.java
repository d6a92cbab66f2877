package org.siskinramp.daemon.peer;

import java.io.IOException;
import java.nio.channels.SelectionKey;

/** Handles what the selector reports for one socket. */
@FunctionalInterface
interface LinkEnd {

    void ready(SelectionKey key, long nowMilliseconds) throws IOException;
}
