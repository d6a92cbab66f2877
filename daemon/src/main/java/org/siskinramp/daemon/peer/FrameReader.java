package org.siskinramp.daemon.peer;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/**
 * Splits the bytes of a link into frames. Memory grows with the bytes received, so a large length
 * field alone allocates nothing.
 */
final class FrameReader {

    private static final int LENGTH_UNKNOWN = -1;

    private final int limitBytes;
    private final ByteBuffer lengthField = ByteBuffer.allocate(PeerCodec.LENGTH_FIELD_BYTES);
    private final ByteArrayOutputStream frame = new ByteArrayOutputStream();
    private int frameLengthBytes = LENGTH_UNKNOWN;

    FrameReader(int limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Consumes the bytes of a buffer.
     *
     * @return the frames that are now complete, without their length fields
     * @throws ResultException if a length is not within the limit
     */
    List<byte[]> read(ByteBuffer bytes) {
        List<byte[]> frames = new ArrayList<>();
        while (bytes.hasRemaining()) {
            if (frameLengthBytes == LENGTH_UNKNOWN) {
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
        frameLengthBytes = lengthField.getInt(0);
        lengthField.clear();
        if (frameLengthBytes < 1) {
            throw new ResultException(ResultCode.FRAME_INVALID, "length=" + frameLengthBytes);
        }
        if (frameLengthBytes > limitBytes) {
            throw new ResultException(ResultCode.FRAME_TOO_LARGE, "length=" + frameLengthBytes);
        }
    }

    private void readFrame(ByteBuffer bytes, List<byte[]> frames) {
        byte[] part = new byte[Math.min(frameLengthBytes - frame.size(), bytes.remaining())];
        bytes.get(part);
        frame.writeBytes(part);
        if (frame.size() == frameLengthBytes) {
            frames.add(frame.toByteArray());
            frame.reset();
            frameLengthBytes = LENGTH_UNKNOWN;
        }
    }
}
