package org.siskinramp.daemon.peer;

import java.io.Closeable;
import java.io.IOException;

/** Closes channels. */
final class Channels {

    private Channels() {}

    /** Closes a channel of which nothing more is wanted. */
    static void closeQuietly(Closeable channel) {
        try {
            channel.close();
        } catch (IOException failure) {
            // The channel is given up either way.
        }
    }
}
