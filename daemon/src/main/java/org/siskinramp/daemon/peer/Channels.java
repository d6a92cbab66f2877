package org.siskinramp.daemon.peer;

import java.io.Closeable;
import java.io.IOException;

/** Helpers for channels. */
final class Channels {

    private Channels() {}

    /** Closes a channel and ignores failures. */
    static void closeQuietly(Closeable channel) {
        try {
            channel.close();
        } catch (IOException failure) {
            // The channel is discarded, whether or not the close succeeds.
        }
    }
}
