package org.siskinramp.daemon.peer;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Packs and unpacks values of one type. */
interface ValueCodec {

    void pack(MessagePacker packer, Object value) throws IOException;

    Object unpack(MessageUnpacker unpacker) throws IOException;

    /** Packs values. */
    @FunctionalInterface
    interface ValuePacker {
        void pack(MessagePacker packer, Object value) throws IOException;
    }

    /** Unpacks values. */
    @FunctionalInterface
    interface ValueUnpacker {
        Object unpack(MessageUnpacker unpacker) throws IOException;
    }

    static ValueCodec of(ValuePacker valuePacker, ValueUnpacker valueUnpacker) {
        return new ValueCodec() {
            @Override
            public void pack(MessagePacker packer, Object value) throws IOException {
                valuePacker.pack(packer, value);
            }

            @Override
            public Object unpack(MessageUnpacker unpacker) throws IOException {
                return valueUnpacker.unpack(unpacker);
            }
        };
    }
}
