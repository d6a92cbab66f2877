package org.siskinramp.daemon.peer;

import org.siskinramp.peer.PeerMessage;

/** Computes the size of messages between entry hosts. */
public final class FrameSize {

    private FrameSize() {}

    /**
     * Returns the size of a message as a peer link encodes it.
     *
     * @param message the message
     * @return the size of its frame in bytes, including the length field
     */
    public static int bytesOf(PeerMessage message) {
        return new PeerCodec(Integer.MAX_VALUE).encode(message).bytes().length;
    }
}
