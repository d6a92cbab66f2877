package org.siskinramp.daemon.peer;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

/** A bounded queue of frames for one peer, which drops the oldest frame when full. */
final class SendQueue {

    private final int limitFrames;
    private final Deque<Frame> frames = new ArrayDeque<>();

    SendQueue(int limit) {
        this.limitFrames = limit;
    }

    /** Adds a frame; returns how many older frames were dropped to make room. */
    synchronized int add(Frame frame) {
        frames.addLast(frame);
        if (frames.size() <= limitFrames) {
            return 0;
        }
        frames.removeFirst();
        return 1;
    }

    synchronized boolean isEmpty() {
        return frames.isEmpty();
    }

    /** Removes and returns the first frame if it fits into the buffer; otherwise returns null. */
    synchronized Frame pollFitting(ByteBuffer buffer) {
        Frame first = frames.peekFirst();
        if (first == null || first.bytes().length > buffer.remaining()) {
            return null;
        }
        return frames.removeFirst();
    }

    /** Removes all frames; returns how many were removed. */
    synchronized int clear() {
        int dropped = frames.size();
        frames.clear();
        return dropped;
    }
}
