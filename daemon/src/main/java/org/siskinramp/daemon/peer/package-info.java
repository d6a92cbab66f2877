/**
 * Carries messages between entry hosts over TCP.
 *
 * <p>A frame consists of a four-byte length field, a version byte, and a MessagePack array of the
 * type number and the components of the message. Each host opens a link to every peer that it sends
 * to; the first message, {@link org.siskinramp.daemon.peer.Hello}, identifies the sender and the
 * receiver. The receiving side acknowledges frames with receipts, so that the sender detects a link
 * on which the peer stopped responding.
 */
package org.siskinramp.daemon.peer;
