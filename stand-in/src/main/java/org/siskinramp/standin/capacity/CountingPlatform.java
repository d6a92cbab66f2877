package org.siskinramp.standin.capacity;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.platform.ListedHost;
import org.siskinramp.platform.Platform;
import org.siskinramp.platform.Row;
import org.siskinramp.platform.RowKey;
import org.siskinramp.platform.Write;

/** A platform that accepts each transaction after a fixed latency and counts what is written. */
final class CountingPlatform implements Platform {

    private static final long LATENCY_MILLISECONDS = 5;

    private final VirtualTime time;
    private long transactions;
    private long writes;
    private long valueCharacters;

    CountingPlatform(VirtualTime time) {
        this.time = time;
    }

    long transactions() {
        return transactions;
    }

    long writes() {
        return writes;
    }

    long valueCharacters() {
        return valueCharacters;
    }

    @Override
    public CompletableFuture<Void> commit(List<Write> transaction) {
        transactions++;
        writes += transaction.size();
        transaction.forEach(
                write -> valueCharacters += write.value().map(String::length).orElse(0));
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
