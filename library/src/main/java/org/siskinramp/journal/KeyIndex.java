package org.siskinramp.journal;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import net.openhft.hashing.LongHashFunction;
import org.siskinramp.request.RequestKey;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** An index of request keys by batch, which holds a hash of four bytes for each entry. */
final class KeyIndex {

    private static final LongHashFunction HASH = LongHashFunction.xx();
    private static final int BATCH_HEADER_BYTES = Long.BYTES + Integer.BYTES;

    private final Map<Long, int[]> hashesByBatch = new LinkedHashMap<>();

    static int hash(RequestKey key) {
        return (int) HASH.hashChars(key.caller() + '\n' + key.requestId());
    }

    void add(JournalBatch batch) {
        hashesByBatch.put(
                batch.sequence(),
                batch.entries().stream().mapToInt(entry -> hash(entry.key())).toArray());
    }

    /** Returns the batches that may contain a key; different keys may have the same hash. */
    Set<Long> batchesOf(RequestKey key) {
        int searchedHash = hash(key);
        Set<Long> batches = new TreeSet<>();
        hashesByBatch.forEach(
                (sequence, hashes) -> {
                    for (int hash : hashes) {
                        if (hash == searchedHash) {
                            batches.add(sequence);
                        }
                    }
                });
        return batches;
    }

    byte[] write() {
        int bytes =
                hashesByBatch.values().stream()
                        .mapToInt(hashes -> BATCH_HEADER_BYTES + hashes.length * Integer.BYTES)
                        .sum();
        ByteBuffer buffer = ByteBuffer.allocate(bytes);
        hashesByBatch.forEach(
                (sequence, hashes) -> {
                    buffer.putLong(sequence).putInt(hashes.length);
                    for (int hash : hashes) {
                        buffer.putInt(hash);
                    }
                });
        return buffer.array();
    }

    static KeyIndex read(byte[] content) {
        KeyIndex index = new KeyIndex();
        ByteBuffer buffer = ByteBuffer.wrap(content);
        try {
            while (buffer.hasRemaining()) {
                long sequence = buffer.getLong();
                int count = buffer.getInt();
                if (count < 0 || count > buffer.remaining() / Integer.BYTES) {
                    throw malformed();
                }
                int[] hashes = new int[count];
                for (int position = 0; position < count; position++) {
                    hashes[position] = buffer.getInt();
                }
                index.hashesByBatch.put(sequence, hashes);
            }
        } catch (BufferUnderflowException failure) {
            throw malformed();
        }
        return index;
    }

    private static ResultException malformed() {
        return new ResultException(ResultCode.INVARIANT_VIOLATED, "a journal index is malformed");
    }
}
