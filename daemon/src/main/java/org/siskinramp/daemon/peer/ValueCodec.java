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
    interface Packing {
        void pack(MessagePacker packer, Object value) throws IOException;
    }

    /** Unpacks values. */
    @FunctionalInterface
    interface Unpacking {
        Object unpack(MessageUnpacker unpacker) throws IOException;
    }

    static ValueCodec of(Packing packing, Unpacking unpacking) {
        return new ValueCodec() {
            @Override
            public void pack(MessagePacker packer, Object value) throws IOException {
                packing.pack(packer, value);
            }

            @Override
            public Object unpack(MessageUnpacker unpacker) throws IOException {
                return unpacking.unpack(unpacker);
            }
        };
    }
}
