package org.siskinramp.daemon.buffer;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Collects the body of a message in one array. The memory is reserved before it is allocated. If
 * the length is known, it is allocated once; otherwise the array doubles, and for the time of a
 * copy both arrays are reserved.
 */
public final class BodyBuffer {

    private static final int INITIAL_CAPACITY_BYTES = 1024;

    private final MemoryReservation reservation;
    private final int expectedBytes;
    private byte[] bytes = new byte[0];
    private int size;

    /**
     * Creates an empty buffer.
     *
     * @param reservation reserves the memory, and is released by whoever uses the body last
     * @param expectedBytes the length of the body, or a negative number if it is not known
     */
    public BodyBuffer(MemoryReservation reservation, long expectedBytes) {
        this.reservation = reservation;
        this.expectedBytes = (int) Math.max(0, Math.min(expectedBytes, Integer.MAX_VALUE));
    }

    /**
     * Returns how many bytes were added.
     *
     * @return the number of bytes
     */
    public int size() {
        return size;
    }

    /**
     * Adds bytes.
     *
     * @param added the bytes, all of which are consumed
     * @throws org.siskinramp.result.ResultException if the memory cannot be reserved
     */
    public void add(ByteBuffer added) {
        int needed = size + added.remaining();
        if (needed > bytes.length) {
            int doubled = Math.max(INITIAL_CAPACITY_BYTES, 2 * bytes.length);
            resize(size == 0 ? Math.max(needed, expectedBytes) : Math.max(needed, doubled));
        }
        int length = added.remaining();
        added.get(bytes, size, length);
        size += length;
    }

    /**
     * Returns the body, which must not be changed afterwards.
     *
     * @return an array of the size of the body
     */
    public byte[] toBytes() {
        if (bytes.length != size) {
            resize(size);
        }
        return bytes;
    }

    private void resize(int capacity) {
        reservation.resizeTo((long) bytes.length + capacity);
        bytes = Arrays.copyOf(bytes, capacity);
        reservation.resizeTo(Math.max(capacity, expectedBytes));
    }
}
