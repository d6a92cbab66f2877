package org.siskinramp.daemon.peer;

import org.siskinramp.peer.PeerMessage;

/**
 * The first message on a link, which identifies the sender.
 *
 * @param sender the name of the entry host that opened the link
 * @param incarnation the incarnation of the sender, which differs after a restart
 * @param receiver the name of the entry host that the link is addressed to, or {@link #ANY_HOST}
 */
record Hello(String sender, String incarnation, String receiver) implements PeerMessage {

    /** Addresses whichever entry host listens at the address of the link, as for a seed. */
    static final String ANY_HOST = "";

    boolean isFor(String host) {
        return receiver.equals(host) || receiver.equals(ANY_HOST);
    }
}
