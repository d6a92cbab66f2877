package org.siskinramp.standin.capacity;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.platform.ListedHost;
import org.siskinramp.platform.Platform;
import org.siskinramp.platform.Row;
import org.siskinramp.platform.RowKey;
import org.siskinramp.platform.Write;

/** Accepts every transaction after a while and counts them. */
final class CountingPlatform implements Platform {

    private static final long LATENCY_MILLISECONDS = 5;

    private final SteppedTime time;
    private long transactions;
    private long writes;
    private long valueBytes;

    CountingPlatform(SteppedTime time) {
        this.time = time;
    }

    long transactions() {
        return transactions;
    }

    long writes() {
        return writes;
    }

    long valueBytes() {
        return valueBytes;
    }

    @Override
    public CompletableFuture<Void> commit(List<Write> group) {
        transactions++;
        writes += group.size();
        group.forEach(write -> valueBytes += write.value().map(String::length).orElse(0));
        CompletableFuture<Void> done = new CompletableFuture<>();
        time.schedule(LATENCY_MILLISECONDS, () -> done.complete(null));
        return done;
    }

    @Override
    public CompletableFuture<List<Row>> read(List<RowKey> keys) {
        return CompletableFuture.completedFuture(List.of());
    }

    @Override
    public CompletableFuture<List<Row>> scan(
            String table, String keyPrefix, String afterKey, int limit) {
        return CompletableFuture.completedFuture(List.of());
    }

    @Override
    public CompletableFuture<Void> putObject(String name, byte[] content) {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Optional<byte[]>> getObject(String name) {
        return CompletableFuture.completedFuture(Optional.empty());
    }

    @Override
    public CompletableFuture<List<String>> listObjects(String prefix) {
        return CompletableFuture.completedFuture(List.of());
    }

    @Override
    public CompletableFuture<List<ListedHost>> hosts() {
        return CompletableFuture.completedFuture(List.of());
    }
}
