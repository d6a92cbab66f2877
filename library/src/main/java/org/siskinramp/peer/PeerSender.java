package org.siskinramp.peer;

/** Sends messages to other entry hosts on a best-effort basis; delivery is not guaranteed. */
@FunctionalInterface
public interface PeerSender {

    /**
     * Sends a message.
     *
     * @param host the name of the receiving entry host
     * @param message the message
     */
    void send(String host, PeerMessage message);
}
