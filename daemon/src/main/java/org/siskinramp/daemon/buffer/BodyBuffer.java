package org.siskinramp.daemon.buffer;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects the body of a message. The memory is reserved before it is allocated. A body of known
 * length is held in one array. One of unknown length is held in parts, which are joined at the end:
 * one body at a time in the process, so that a single copy is held beyond the reservations.
 */
public final class BodyBuffer {

    private static final Object JOIN_LOCK = new Object();

    /** Parts grow with the body, so that small chunks do not each cost an array. */
    private static final int SMALLEST_PART_BYTES = 1024;

    private static final int LARGEST_PART_BYTES = 64 * 1024;

    private final MemoryReservation reservation;
    private final int expectedBytes;
    private final List<byte[]> parts = new ArrayList<>();
    private int allocatedBytes;
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
        int free = allocatedBytes - size;
        byte[] next = added.remaining() > free ? allocate(added.remaining() - free) : null;
        int copied = Math.min(free, added.remaining());
        if (copied > 0) {
            byte[] last = parts.get(parts.size() - 1);
            added.get(last, last.length - free, copied);
        }
        if (next != null) {
            int rest = added.remaining();
            parts.add(next);
            added.get(next, 0, rest);
            copied += rest;
        }
        size += copied;
    }

    private byte[] allocate(int neededBytes) {
        int grown = Math.min(LARGEST_PART_BYTES, Math.max(SMALLEST_PART_BYTES, size));
        int length = Math.max(neededBytes, parts.isEmpty() ? expectedBytes : grown);
        reservation.resizeTo((long) allocatedBytes + length);
        byte[] part = new byte[length];
        allocatedBytes += length;
        return part;
    }

    /**
     * Returns the body, which must not be changed afterwards.
     *
     * @return an array of the size of the body
     */
    public byte[] toBytes() {
        if (parts.size() != 1 || allocatedBytes != size) {
            synchronized (JOIN_LOCK) {
                join();
            }
            reservation.resizeTo(size);
        }
        return parts.get(0);
    }

    private void join() {
        byte[] joined = new byte[size];
        int start = 0;
        for (byte[] part : parts) {
            int length = Math.min(part.length, size - start);
            System.arraycopy(part, 0, joined, start, length);
            start += length;
        }
        parts.clear();
        parts.add(joined);
        allocatedBytes = size;
    }

    /** Drops the body of a message that has failed. The reservation is left to its owner. */
    public void clear() {
        parts.clear();
        allocatedBytes = 0;
        size = 0;
    }
}
