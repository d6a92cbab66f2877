package org.siskinramp.daemon.peer;

import java.io.IOException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Returns the codec for the type of a record component. */
final class ValueCodecs {

    private static final int BYTE_ARRAY_LIMIT_BYTES = 1024 * 1024;

    private static final ValueCodec TEXT =
            ValueCodec.of(
                    (packer, value) -> packer.packString((String) value),
                    MessageUnpacker::unpackString);
    private static final ValueCodec LONG =
            ValueCodec.of(
                    (packer, value) -> packer.packLong((Long) value), MessageUnpacker::unpackLong);
    private static final ValueCodec INT =
            ValueCodec.of(
                    (packer, value) -> packer.packInt((Integer) value), MessageUnpacker::unpackInt);
    private static final ValueCodec BOOLEAN =
            ValueCodec.of(
                    (packer, value) -> packer.packBoolean((Boolean) value),
                    MessageUnpacker::unpackBoolean);
    private static final ValueCodec DOUBLE =
            ValueCodec.of(
                    (packer, value) -> packer.packDouble((Double) value),
                    MessageUnpacker::unpackDouble);
    private static final ValueCodec BYTES =
            ValueCodec.of(ValueCodecs::packBytes, ValueCodecs::unpackBytes);

    private static final Map<Type, ValueCodec> CODECS_BY_TYPE =
            Map.of(
                    String.class, TEXT,
                    long.class, LONG,
                    Long.class, LONG,
                    int.class, INT,
                    Integer.class, INT,
                    boolean.class, BOOLEAN,
                    Boolean.class, BOOLEAN,
                    double.class, DOUBLE,
                    byte[].class, BYTES);

    private ValueCodecs() {}

    static ValueCodec of(Type type) {
        ValueCodec simple = CODECS_BY_TYPE.get(type);
        if (simple != null) {
            return simple;
        }
        if (type instanceof ParameterizedType list && list.getRawType() == List.class) {
            return listOf(of(list.getActualTypeArguments()[0]));
        }
        if (type instanceof Class<?> record && record.isRecord()) {
            return RecordCodec.of(record);
        }
        if (type instanceof Class<?> constants && constants.isEnum()) {
            return enumOf(constants);
        }
        throw new IllegalArgumentException("no codec for " + type);
    }

    /** Packs enum constants by name, so that versions may declare them in different orders. */
    private static ValueCodec enumOf(Class<?> type) {
        Map<String, Object> constants = new HashMap<>();
        for (Object constant : type.getEnumConstants()) {
            constants.put(((Enum<?>) constant).name(), constant);
        }
        return ValueCodec.of(
                (packer, value) -> packer.packString(((Enum<?>) value).name()),
                unpacker -> constant(constants, unpacker.unpackString()));
    }

    private static Object constant(Map<String, Object> constants, String name) throws IOException {
        Object constant = constants.get(name);
        if (constant == null) {
            throw new IOException("unknown enum constant " + name);
        }
        return constant;
    }

    private static ValueCodec listOf(ValueCodec element) {
        return ValueCodec.of(
                (packer, value) -> packList(packer, (List<?>) value, element),
                unpacker -> unpackList(unpacker, element));
    }

    private static void packList(MessagePacker packer, List<?> values, ValueCodec element)
            throws IOException {
        packer.packArrayHeader(values.size());
        for (Object value : values) {
            element.pack(packer, value);
        }
    }

    private static List<Object> unpackList(MessageUnpacker unpacker, ValueCodec element)
            throws IOException {
        int size = unpacker.unpackArrayHeader();
        List<Object> values = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            values.add(element.unpack(unpacker));
        }
        return values;
    }

    private static void packBytes(MessagePacker packer, Object value) throws IOException {
        byte[] bytes = (byte[]) value;
        packer.packBinaryHeader(bytes.length).writePayload(bytes);
    }

    private static byte[] unpackBytes(MessageUnpacker unpacker) throws IOException {
        int size = unpacker.unpackBinaryHeader();
        if (size > BYTE_ARRAY_LIMIT_BYTES) {
            throw new IOException("bytes=" + size);
        }
        return unpacker.readPayload(size);
    }
}
