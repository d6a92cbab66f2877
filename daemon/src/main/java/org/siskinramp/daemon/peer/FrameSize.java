package org.siskinramp.daemon.peer;

import org.siskinramp.peer.PeerMessage;

/** Tells how many bytes messages take between entry hosts. */
public final class FrameSize {

    private FrameSize() {}

    /**
     * Encodes a message as a peer link does.
     *
     * @param message the message
     * @return the bytes of its frame, with its length field
     */
    public static int bytesOf(PeerMessage message) {
        return new PeerCodec(Integer.MAX_VALUE).encode(message).bytes().length;
    }
}
