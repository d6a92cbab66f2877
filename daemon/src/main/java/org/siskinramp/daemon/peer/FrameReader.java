package org.siskinramp.daemon.peer;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Cuts the bytes of a link into frames. Memory is taken only for bytes that came. */
final class FrameReader {

    private static final int UNKNOWN = -1;

    private final int limitBytes;
    private final ByteBuffer lengthField = ByteBuffer.allocate(PeerCodec.LENGTH_BYTES);
    private final ByteArrayOutputStream frame = new ByteArrayOutputStream();
    private int length = UNKNOWN;

    FrameReader(int limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Takes bytes from a buffer.
     *
     * @return the frames that are whole now, without their length fields
     * @throws ResultException if a length is not within the limit
     */
    List<byte[]> read(ByteBuffer bytes) {
        List<byte[]> frames = new ArrayList<>();
        while (bytes.hasRemaining()) {
            if (length == UNKNOWN) {
                readLength(bytes);
            } else {
                readFrame(bytes, frames);
            }
        }
        return frames;
    }

    private void readLength(ByteBuffer bytes) {
        while (lengthField.hasRemaining() && bytes.hasRemaining()) {
            lengthField.put(bytes.get());
        }
        if (lengthField.hasRemaining()) {
            return;
        }
        length = lengthField.getInt(0);
        lengthField.clear();
        if (length < 1) {
            throw new ResultException(ResultCode.FRAME_INVALID, "length=" + length);
        }
        if (length > limitBytes) {
            throw new ResultException(ResultCode.FRAME_TOO_LARGE, "length=" + length);
        }
    }

    private void readFrame(ByteBuffer bytes, List<byte[]> frames) {
        byte[] part = new byte[Math.min(length - frame.size(), bytes.remaining())];
        bytes.get(part);
        frame.writeBytes(part);
        if (frame.size() == length) {
            frames.add(frame.toByteArray());
            frame.reset();
            length = UNKNOWN;
        }
    }
}
