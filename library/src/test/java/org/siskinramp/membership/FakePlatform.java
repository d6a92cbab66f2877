package org.siskinramp.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.platform.ListedHost;
import org.siskinramp.platform.Platform;
import org.siskinramp.platform.Row;
import org.siskinramp.platform.RowKey;
import org.siskinramp.platform.Write;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Holds rows and a list of hosts in memory; can be unavailable and lose answers. */
final class FakePlatform implements Platform {

    private final Map<RowKey, Row> rows = new HashMap<>();
    private final Map<String, ListedHost> listed = new TreeMap<>();
    private boolean available = true;
    private boolean losingAnswers;

    void available(boolean isAvailable) {
        available = isAvailable;
    }

    void losingAnswers(boolean isLosing) {
        losingAnswers = isLosing;
    }

    void list(String host, String availabilityZone) {
        listed.put(host, new ListedHost(host, availabilityZone, "127.0.0.1:1", false));
    }

    void unlist(String host) {
        listed.remove(host);
    }

    boolean isAvailable() {
        return available;
    }

    @Override
    public CompletableFuture<Void> commit(List<Write> writes) {
        if (!available) {
            return failed(ResultCode.PLATFORM_UNAVAILABLE);
        }
        Write write = writes.get(0);
        Row row = rows.get(write.key());
        long version = row == null ? 0 : row.version();
        if (version != write.expectedVersion()) {
            return failed(ResultCode.CONDITION_FAILED);
        }
        rows.put(write.key(), new Row(write.key(), version + 1, write.value().orElseThrow()));
        return losingAnswers
                ? failed(ResultCode.PLATFORM_ANSWER_LOST)
                : CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<List<Row>> read(List<RowKey> keys) {
        return available
                ? CompletableFuture.completedFuture(
                        keys.stream().filter(rows::containsKey).map(rows::get).toList())
                : failed(ResultCode.PLATFORM_UNAVAILABLE);
    }

    @Override
    public CompletableFuture<List<ListedHost>> hosts() {
        return available
                ? CompletableFuture.completedFuture(List.copyOf(listed.values()))
                : failed(ResultCode.PLATFORM_UNAVAILABLE);
    }

    @Override
    public CompletableFuture<List<Row>> scan(String table, String prefix, String after, int limit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Void> putObject(String name, byte[] content) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Optional<byte[]>> getObject(String name) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<List<String>> listObjects(String prefix) {
        throw new UnsupportedOperationException();
    }

    static <T> CompletableFuture<T> unavailable() {
        return failed(ResultCode.PLATFORM_UNAVAILABLE);
    }

    private static <T> CompletableFuture<T> failed(ResultCode code) {
        return CompletableFuture.failedFuture(new ResultException(code, "test"));
    }
}
