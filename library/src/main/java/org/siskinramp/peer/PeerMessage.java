package org.siskinramp.peer;

/**
 * A message from one entry host to another. Messages may be lost, duplicated, reordered or delayed;
 * receivers must tolerate that.
 */
public interface PeerMessage {}
