package org.siskinramp.daemon.peer;

import org.siskinramp.peer.PeerMessage;

/**
 * Tells the sender that its frames arrive.
 *
 * @param frames how many frames arrived on this link
 */
record Receipt(long frames) implements PeerMessage {}
