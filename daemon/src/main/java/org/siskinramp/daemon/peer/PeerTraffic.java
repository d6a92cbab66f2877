package org.siskinramp.daemon.peer;

/** Receives the size of each frame between entry hosts. */
@FunctionalInterface
public interface PeerTraffic {

    /** Tells which way a frame went. */
    enum Direction {
        /** To another entry host. */
        SENT,
        /** From another entry host. */
        RECEIVED
    }

    /**
     * Counts one frame.
     *
     * @param direction which way it went
     * @param messageType the simple name of the message's type
     * @param bytes its size with the length field
     */
    void count(Direction direction, String messageType, int bytes);
}
