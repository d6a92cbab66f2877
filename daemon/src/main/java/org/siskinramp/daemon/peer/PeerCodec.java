package org.siskinramp.daemon.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Turns messages into frames and back. */
final class PeerCodec {

    static final int LENGTH_BYTES = 4;
    static final byte VERSION = 1;

    private static final int TYPE_AND_MESSAGE = 2;

    private final int limitBytes;

    /** Creates a codec for frames whose length field is at most a limit. */
    PeerCodec(int limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Encodes a message.
     *
     * @throws ResultException with {@code FRAME_TOO_LARGE} if the frame would exceed the limit
     */
    Frame encode(PeerMessage message) {
        byte[] payload = pack(message);
        int length = 1 + payload.length;
        if (length > limitBytes) {
            throw new ResultException(
                    ResultCode.FRAME_TOO_LARGE, "type=" + nameOf(message) + " bytes=" + length);
        }
        ByteBuffer bytes = ByteBuffer.allocate(LENGTH_BYTES + length);
        bytes.putInt(length).put(VERSION).put(payload);
        return new Frame(nameOf(message), bytes.array());
    }

    static String nameOf(PeerMessage message) {
        return message.getClass().getSimpleName();
    }

    private static byte[] pack(PeerMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(TYPE_AND_MESSAGE);
            packer.packInt(MessageTypes.numberOf(message.getClass()));
            RecordCodec.of(message.getClass()).pack(packer, message);
            return packer.toByteArray();
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * Decodes a frame without its length field.
     *
     * @return the message, or empty if this version does not know its type
     * @throws ResultException with {@code FRAME_INVALID} if the frame is malformed
     */
    Optional<PeerMessage> decode(byte[] frame) {
        if (frame.length == 0 || frame[0] != VERSION) {
            throw invalid("version=" + (frame.length == 0 ? "none" : frame[0]));
        }
        try (MessageUnpacker unpacker =
                MessagePack.newDefaultUnpacker(frame, 1, frame.length - 1)) {
            Optional<PeerMessage> message = unpack(unpacker);
            if (unpacker.hasNext()) {
                throw invalid("bytes after the message");
            }
            return message;
        } catch (ResultException malformed) {
            throw malformed;
        } catch (IOException | RuntimeException malformed) {
            throw invalid(malformed.toString());
        }
    }

    private static Optional<PeerMessage> unpack(MessageUnpacker unpacker) throws IOException {
        if (unpacker.unpackArrayHeader() != TYPE_AND_MESSAGE) {
            throw invalid("not a type and a message");
        }
        Optional<Class<? extends PeerMessage>> type = MessageTypes.typeOf(unpacker.unpackInt());
        if (type.isEmpty()) {
            unpacker.skipValue();
            return Optional.empty();
        }
        return Optional.of((PeerMessage) RecordCodec.of(type.get()).unpack(unpacker));
    }

    private static ResultException invalid(String detail) {
        return new ResultException(ResultCode.FRAME_INVALID, detail);
    }
}
