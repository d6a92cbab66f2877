package org.siskinramp.daemon.peer;

import org.siskinramp.peer.PeerMessage;

/**
 * Opens a link.
 *
 * @param sender the name of the host that opened the link
 * @param incarnation the sender's incarnation
 * @param receiver the name of the host that the sender means to reach, or {@link #WHOEVER_LISTENS}
 */
record Hello(String sender, String incarnation, String receiver) implements PeerMessage {

    /** Means the host at the address of the link, whatever its name. */
    static final String WHOEVER_LISTENS = "";

    boolean isFor(String host) {
        return receiver.equals(host) || receiver.equals(WHOEVER_LISTENS);
    }
}
