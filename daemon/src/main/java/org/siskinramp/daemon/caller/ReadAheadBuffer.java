package org.siskinramp.daemon.caller;

import java.nio.ByteBuffer;
import org.eclipse.jetty.util.BufferUtil;
import org.siskinramp.result.ResultException;

/**
 * Holds the bytes that a caller sends on a connection before its current request is answered. If
 * they exceed a limit, all of them are discarded, and the connection must be closed after the
 * answer. Guarded by the lock of the connection.
 */
final class ReadAheadBuffer {

    /** Room for a following request of usual size. */
    static final int LIMIT_BYTES = 16 * 1024;

    private final BodyMemoryBudget.Reservation reservation;
    private ByteBuffer bytes = BufferUtil.EMPTY_BUFFER;
    private boolean overflowed;

    /**
     * Creates an empty buffer.
     *
     * @param memoryBudget limits the memory of what all callers have sent
     */
    ReadAheadBuffer(BodyMemoryBudget memoryBudget) {
        this.reservation = memoryBudget.reserve(0);
    }

    boolean hasRemaining() {
        return bytes.hasRemaining();
    }

    /** Tells whether bytes were discarded, so that nothing can be read after them. */
    boolean isOverflowed() {
        return overflowed;
    }

    /** Adds bytes, or discards all if they exceed a limit. */
    void add(ByteBuffer added) {
        int total = bytes.remaining() + added.remaining();
        if (overflowed || total > LIMIT_BYTES || !reserve(total)) {
            overflowed = true;
            clear();
            return;
        }
        ByteBuffer joined = ByteBuffer.allocate(total);
        joined.put(bytes).put(added).flip();
        bytes = joined;
    }

    private boolean reserve(int total) {
        try {
            reservation.growTo(total);
            return true;
        } catch (ResultException limitReached) {
            return false;
        }
    }

    /** Moves bytes to the end of a buffer; returns their number. */
    int moveTo(ByteBuffer target) {
        int moved = BufferUtil.append(target, bytes);
        if (!bytes.hasRemaining()) {
            clear();
        }
        return moved;
    }

    /** Drops all bytes. */
    void clear() {
        bytes = BufferUtil.EMPTY_BUFFER;
        reservation.release();
    }
}
