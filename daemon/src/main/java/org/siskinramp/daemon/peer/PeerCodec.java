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

/** Encodes messages as frames and decodes them. */
final class PeerCodec {

    static final int LENGTH_FIELD_BYTES = 4;
    static final byte VERSION = 1;

    private static final int PAYLOAD_ELEMENTS = 2;

    private final int limitBytes;

    /** Creates a codec that rejects messages whose length field would exceed the limit. */
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
        ByteBuffer bytes = ByteBuffer.allocate(LENGTH_FIELD_BYTES + length);
        bytes.putInt(length).put(VERSION).put(payload);
        return new Frame(nameOf(message), bytes.array());
    }

    static String nameOf(PeerMessage message) {
        return message.getClass().getSimpleName();
    }

    private static byte[] pack(PeerMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(PAYLOAD_ELEMENTS);
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
     * @return the message, or empty if its type is unknown to this version
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
                throw invalid("trailing bytes after the message");
            }
            return message;
        } catch (ResultException malformed) {
            throw malformed;
        } catch (IOException | RuntimeException malformed) {
            throw invalid(malformed.toString());
        }
    }

    private static Optional<PeerMessage> unpack(MessageUnpacker unpacker) throws IOException {
        if (unpacker.unpackArrayHeader() != PAYLOAD_ELEMENTS) {
            throw invalid("payload is not an array of type number and message");
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
