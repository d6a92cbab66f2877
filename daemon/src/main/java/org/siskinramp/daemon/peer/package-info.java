/**
 * Carries messages between entry hosts over TCP.
 *
 * <p>A frame is a length of four bytes, a version byte, and a MessagePack array of the type number
 * and the components of the message. Each host opens a link to every peer that it sends to; the
 * first frame names the sender and the receiver. The receiving side answers with receipts, so that
 * the sender notices a link that went silent.
 */
package org.siskinramp.daemon.peer;
