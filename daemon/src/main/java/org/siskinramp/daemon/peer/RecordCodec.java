package org.siskinramp.daemon.peer;

import java.io.IOException;
import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.lang.reflect.Constructor;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Packs a record as an array of its components. Additional components, appended by a later version,
 * are skipped when reading.
 */
final class RecordCodec implements ValueCodec {

    private static final Map<Class<?>, RecordCodec> CODECS = new ConcurrentHashMap<>();

    private final List<Component> components;
    private final MethodHandle constructor;

    private RecordCodec(List<Component> components, MethodHandle constructor) {
        this.components = List.copyOf(components);
        this.constructor = constructor;
    }

    static RecordCodec of(Class<?> type) {
        RecordCodec cached = CODECS.get(type);
        if (cached != null) {
            return cached;
        }
        RecordCodec created = create(type);
        CODECS.put(type, created);
        return created;
    }

    private static RecordCodec create(Class<?> type) {
        try {
            List<Component> components = new ArrayList<>();
            for (RecordComponent component : type.getRecordComponents()) {
                components.add(
                        new Component(
                                handleOf(component), ValueCodecs.of(component.getGenericType())));
            }
            return new RecordCodec(components, constructorOf(type));
        } catch (ReflectiveOperationException impossible) {
            throw new IllegalArgumentException("no codec for " + type.getName(), impossible);
        }
    }

    private static MethodHandle handleOf(RecordComponent component) throws IllegalAccessException {
        component.getAccessor().setAccessible(true);
        return MethodHandles.lookup()
                .unreflect(component.getAccessor())
                .asType(MethodType.methodType(Object.class, Object.class));
    }

    private static MethodHandle constructorOf(Class<?> type) throws ReflectiveOperationException {
        Class<?>[] parameters =
                Stream.of(type.getRecordComponents())
                        .map(RecordComponent::getType)
                        .toArray(Class<?>[]::new);
        Constructor<?> constructor = type.getDeclaredConstructor(parameters);
        constructor.setAccessible(true);
        return MethodHandles.lookup()
                .unreflectConstructor(constructor)
                .asSpreader(Object[].class, parameters.length);
    }

    @Override
    public void pack(MessagePacker packer, Object value) throws IOException {
        packer.packArrayHeader(components.size());
        for (Component component : components) {
            component.codec.pack(packer, read(component.accessor, value));
        }
    }

    @Override
    public Object unpack(MessageUnpacker unpacker) throws IOException {
        int size = unpacker.unpackArrayHeader();
        if (size < components.size()) {
            throw new IOException("components=" + size);
        }
        Object[] values = new Object[components.size()];
        for (int i = 0; i < values.length; i++) {
            values[i] = components.get(i).codec.unpack(unpacker);
        }
        unpacker.skipValue(size - values.length);
        return construct(values);
    }

    private static Object read(MethodHandle accessor, Object value) throws IOException {
        try {
            return accessor.invokeExact(value);
        } catch (RuntimeException | Error failure) {
            throw failure;
        } catch (Throwable failure) {
            throw new IOException(failure);
        }
    }

    private Object construct(Object[] values) throws IOException {
        try {
            return constructor.invoke(values);
        } catch (RuntimeException | Error failure) {
            throw failure;
        } catch (Throwable failure) {
            throw new IOException(failure);
        }
    }

    private record Component(MethodHandle accessor, ValueCodec codec) {}
}
