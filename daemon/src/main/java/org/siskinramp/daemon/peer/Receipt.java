package org.siskinramp.daemon.peer;

import org.siskinramp.peer.PeerMessage;

/**
 * Acknowledges the frames received on a link.
 *
 * @param frames the number of frames received since the link was opened
 */
record Receipt(long frames) implements PeerMessage {}
