package org.siskinramp.daemon.peer;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

/** Keeps the newest frames for a peer up to a limit. */
final class SendQueue {

    private final int limit;
    private final Deque<Frame> frames = new ArrayDeque<>();

    SendQueue(int limit) {
        this.limit = limit;
    }

    /** Adds a frame; returns how many older ones were dropped for it. */
    synchronized int add(Frame frame) {
        frames.addLast(frame);
        if (frames.size() <= limit) {
            return 0;
        }
        frames.removeFirst();
        return 1;
    }

    synchronized boolean isEmpty() {
        return frames.isEmpty();
    }

    /** Removes the first frame if it fits into a buffer; returns null otherwise. */
    synchronized Frame pollFitting(ByteBuffer buffer) {
        Frame first = frames.peekFirst();
        if (first == null || first.bytes().length > buffer.remaining()) {
            return null;
        }
        return frames.removeFirst();
    }

    /** Drops all frames; returns how many there were. */
    synchronized int clear() {
        int dropped = frames.size();
        frames.clear();
        return dropped;
    }
}
