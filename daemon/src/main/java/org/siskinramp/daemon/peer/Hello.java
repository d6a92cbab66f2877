package org.siskinramp.daemon.peer;

import org.siskinramp.peer.PeerMessage;

/**
 * Opens a link.
 *
 * @param sender the name of the host that opened the link
 * @param incarnation the sender's incarnation
 * @param receiver the name of the host that the sender means to reach
 */
record Hello(String sender, String incarnation, String receiver) implements PeerMessage {}
