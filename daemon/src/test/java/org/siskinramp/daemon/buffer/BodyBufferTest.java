package org.siskinramp.daemon.buffer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

class BodyBufferTest {

    private final List<Long> reserved = new ArrayList<>();

    private static byte[] part(int length, int value) {
        byte[] bytes = new byte[length];
        Arrays.fill(bytes, (byte) value);
        return bytes;
    }

    @Test
    void aBodyOfKnownLengthIsAllocatedOnce() {
        BodyBuffer buffer = new BodyBuffer(reserved::add, 5_000);
        buffer.add(ByteBuffer.wrap(part(4_000, 1)));
        buffer.add(ByteBuffer.wrap(part(1_000, 2)));
        byte[] body = buffer.toBytes();
        assertEquals(5_000, body.length);
        assertEquals(1, body[3_999]);
        assertEquals(2, body[4_000]);
        assertSame(body, buffer.toBytes());
        assertEquals(5_000, Collections.max(reserved));
    }

    /** Each part is reserved before it is allocated; what the joined body does not need ends. */
    @Test
    void aBodyOfUnknownLengthIsReservedInParts() {
        BodyBuffer buffer = new BodyBuffer(reserved::add, -1);
        byte[] expected = new byte[3_000];
        for (int index = 0; index < 30; index++) {
            Arrays.fill(expected, index * 100, (index + 1) * 100, (byte) index);
            buffer.add(ByteBuffer.wrap(part(100, index)));
        }
        assertArrayEquals(expected, buffer.toBytes());
        assertEquals(List.of(100L, 1_124L, 2_224L, 4_424L, 3_000L), reserved);
    }

    @Test
    void aBodyThatIsLongerThanAnnouncedIsKept() {
        BodyBuffer buffer = new BodyBuffer(reserved::add, 10);
        buffer.add(ByteBuffer.wrap(part(10, 1)));
        buffer.add(ByteBuffer.wrap(part(2_000, 2)));
        assertEquals(2_010, buffer.toBytes().length);
    }

    @Test
    void nothingIsAllocatedBeyondTheReservation() {
        BodyBuffer buffer =
                new BodyBuffer(
                        bytes -> {
                            if (bytes > 1_024) {
                                throw new ResultException(ResultCode.TOO_MANY_REQUESTS, "limit");
                            }
                        },
                        -1);
        buffer.add(ByteBuffer.wrap(part(1_000, 1)));
        assertThrows(ResultException.class, () -> buffer.add(ByteBuffer.wrap(part(100, 1))));
        assertEquals(1_000, buffer.size());
    }

    @Test
    void chunksOfOneByteCostNoMoreThanOnePart() {
        BodyBuffer buffer = new BodyBuffer(reserved::add, -1);
        for (int index = 0; index < 300_000; index++) {
            buffer.add(ByteBuffer.wrap(part(1, index)));
        }
        assertTrue(Collections.max(reserved) <= 300_000 + 64 * 1024);
        assertEquals((byte) 299_999, buffer.toBytes()[299_999]);
    }

    @Test
    void slicesCoverTheBodyWithoutACopy() {
        byte[] body = part(2 * Slices.MAXIMUM_BYTES + 1, 7);
        ByteBuffer[] slices = Slices.of(body);
        assertEquals(3, slices.length);
        assertEquals(Slices.MAXIMUM_BYTES, slices[0].remaining());
        assertEquals(1, slices[2].remaining());
        body[Slices.MAXIMUM_BYTES] = 8;
        assertEquals(8, slices[1].get(0));
        assertEquals(0, Slices.of(new byte[0])[0].remaining());
    }
}
