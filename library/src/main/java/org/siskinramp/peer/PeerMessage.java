package org.siskinramp.peer;

/**
 * Marks a message from one entry host to another. Messages may be lost, repeated, reordered and
 * late; each receiver copes with that.
 */
public interface PeerMessage {}
