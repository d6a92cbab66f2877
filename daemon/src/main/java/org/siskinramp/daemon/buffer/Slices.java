package org.siskinramp.daemon.buffer;

import java.nio.ByteBuffer;

/**
 * Splits bodies for sending. The JDK copies the whole of a buffer outside the heap for each write
 * to a socket, also if the socket accepts only a part of it.
 */
public final class Slices {

    /** A multiple of what a socket usually accepts at a time. */
    public static final int MAXIMUM_BYTES = 64 * 1024;

    private Slices() {}

    /**
     * Splits a body without copying it.
     *
     * @param body the body
     * @return views of consecutive parts; one empty view of an empty body
     */
    public static ByteBuffer[] of(byte[] body) {
        int count = Math.max(1, (body.length + MAXIMUM_BYTES - 1) / MAXIMUM_BYTES);
        ByteBuffer[] slices = new ByteBuffer[count];
        for (int index = 0; index < count; index++) {
            int start = index * MAXIMUM_BYTES;
            int length = Math.min(MAXIMUM_BYTES, body.length - start);
            slices[index] = ByteBuffer.wrap(body, start, length).slice();
        }
        return slices;
    }
}
