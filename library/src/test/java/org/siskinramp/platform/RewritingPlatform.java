package org.siskinramp.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;

/**
 * A platform that rewrites writes before it forwards them. Tests use it to disable a safety
 * mechanism and to check that they detect its absence.
 */
public record RewritingPlatform(Platform platform, UnaryOperator<Write> rewrite)
        implements Platform {

    @Override
    public CompletableFuture<Void> commit(List<Write> writes) {
        return platform.commit(writes.stream().map(rewrite).toList());
    }

    @Override
    public CompletableFuture<List<Row>> read(List<RowKey> keys) {
        return platform.read(keys);
    }

    @Override
    public CompletableFuture<List<Row>> scan(
            String table, String keyPrefix, String afterKey, int limit) {
        return platform.scan(table, keyPrefix, afterKey, limit);
    }

    @Override
    public CompletableFuture<Void> putObject(String name, byte[] content) {
        return platform.putObject(name, content);
    }

    @Override
    public CompletableFuture<Optional<byte[]>> getObject(String name) {
        return platform.getObject(name);
    }

    @Override
    public CompletableFuture<List<String>> listObjects(String prefix) {
        return platform.listObjects(prefix);
    }

    @Override
    public CompletableFuture<List<ListedHost>> hosts() {
        return platform.hosts();
    }
}
