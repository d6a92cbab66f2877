package org.siskinramp.daemon.peer;

/** Records the size of each frame between entry hosts. */
@FunctionalInterface
public interface PeerTrafficRecorder {

    /** The direction of a frame. */
    enum Direction {
        /** To another entry host. */
        SENT,
        /** From another entry host. */
        RECEIVED
    }

    /**
     * Records one frame.
     *
     * @param direction the direction of the frame
     * @param messageType the simple class name of the message
     * @param bytes the size of the frame, including the length field
     */
    void recordFrame(Direction direction, String messageType, int bytes);
}
