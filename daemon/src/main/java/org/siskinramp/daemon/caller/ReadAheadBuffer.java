package org.siskinramp.daemon.caller;

import java.io.IOException;
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

    private static final int READ_BYTES = 1024;

    /** Bytes that one call reads at most, so that a caller that floods delays no other. */
    private static final int READ_LIMIT_BYTES = 64 * 1024;

    /** Reads bytes that have arrived on a connection. */
    @FunctionalInterface
    interface Source {

        /** Appends bytes; returns their number, which is negative at the end of the input. */
        int fill(ByteBuffer target) throws IOException;
    }

    private final BodyMemoryBudget.Reservation reservation;
    private ByteBuffer bytes = BufferUtil.EMPTY_BUFFER;
    private int returnedBytes;
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

    /**
     * Adds the bytes that have arrived.
     *
     * @return their number, or a negative number if the input has ended
     */
    int addFrom(Source source) throws IOException {
        int total = 0;
        int read = 1;
        while (read > 0 && total < READ_LIMIT_BYTES) {
            ByteBuffer buffer = BufferUtil.allocate(READ_BYTES);
            read = source.fill(buffer);
            if (read > 0) {
                add(buffer);
                total += read;
            }
        }
        return read < 0 ? read : total;
    }

    /** Adds bytes, or discards all if they exceed a limit. */
    private void add(ByteBuffer added) {
        int total = bytes.remaining() + added.remaining();
        if (overflowed || total - returnedBytes > LIMIT_BYTES || !reserve(total)) {
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

    /**
     * Takes back the end of what the HTTP connection was about to read, which is not counted
     * towards the limit. Must be called while this is empty.
     *
     * @return false if there is no memory for it
     */
    boolean takeBack(ByteBuffer returned) {
        if (!reserve(returned.remaining())) {
            return false;
        }
        returnedBytes = returned.remaining();
        bytes = ByteBuffer.allocate(returnedBytes).put(returned).flip();
        return true;
    }

    /** Returns the bytes to read, without consuming them. */
    ByteBuffer peek() {
        return bytes.asReadOnlyBuffer();
    }

    /** Returns a copy of the bytes after some that are skipped; empty if there are none. */
    ByteBuffer copyFrom(int skippedBytes) {
        int count = Math.max(0, bytes.remaining() - skippedBytes);
        ByteBuffer copy = ByteBuffer.allocate(count);
        if (count > 0) {
            copy.put(bytes.slice(bytes.position() + skippedBytes, count)).flip();
        }
        return copy;
    }

    /** Moves up to a number of bytes to the end of a buffer; returns how many. */
    int moveTo(ByteBuffer target, int limitBytes) {
        int moved = BufferUtil.append(target, bytes.slice(bytes.position(), limitBytes));
        bytes.position(bytes.position() + moved);
        returnedBytes = Math.max(0, returnedBytes - moved);
        if (!bytes.hasRemaining()) {
            clear();
        }
        return moved;
    }

    /** Drops all bytes. */
    void clear() {
        bytes = BufferUtil.EMPTY_BUFFER;
        returnedBytes = 0;
        reservation.release();
    }
}
