package org.siskinramp.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.VirtualTime;

/** A platform in memory that runs in virtual time and injects faults on demand. */
public final class FakePlatform implements Platform {

    /** Names what happens to a write. */
    public enum Fault {
        /** The write takes effect and is answered. */
        NONE,
        /** The write is refused without effect. */
        REFUSED,
        /** The write takes effect and its answer is lost. */
        ANSWER_LOST,
        /** The write is lost. */
        WRITE_LOST,
        /** The answer is lost and the write takes effect later. */
        WRITE_LATE
    }

    private final VirtualTime time;
    private final NavigableMap<String, NavigableMap<String, Row>> tables = new TreeMap<>();
    private final NavigableMap<String, byte[]> objects = new TreeMap<>();
    private final Deque<Fault> faults = new ArrayDeque<>();
    private Supplier<Fault> defaultFault = () -> Fault.NONE;
    private List<ListedHost> hosts = List.of();
    private long latencyMilliseconds = 2;
    private long lateMilliseconds = 1500;
    private boolean down;
    private int commits;

    public FakePlatform(VirtualTime time) {
        this.time = time;
    }

    /** Sets whether the platform is unavailable. */
    public void setDown(boolean value) {
        down = value;
    }

    /** Sets the one-way latency to the platform. */
    public void setLatencyMilliseconds(long value) {
        latencyMilliseconds = value;
    }

    /** Sets the delay after which a {@link Fault#WRITE_LATE} takes effect. */
    public void setLateMilliseconds(long value) {
        lateMilliseconds = value;
    }

    /** Sets the listed hosts. */
    public void setHosts(List<ListedHost> value) {
        hosts = List.copyOf(value);
    }

    /** Sets the faults of the next writes, one each. */
    public void failNextWrites(Fault... next) {
        faults.addAll(List.of(next));
    }

    /** Sets the source of the faults of all writes that {@link #failNextWrites} does not cover. */
    public void setDefaultFault(Supplier<Fault> choice) {
        defaultFault = choice;
    }

    /** Returns how many transactions were requested. */
    public int commits() {
        return commits;
    }

    /** Returns a row without latency or faults. */
    public Optional<Row> row(String table, String key) {
        return Optional.ofNullable(table(table).get(key));
    }

    /** Returns an object without latency or faults. */
    public byte[] getObjectNow(String name) {
        return objects.get(name).clone();
    }

    @Override
    public CompletableFuture<Void> commit(List<Write> writes) {
        commits++;
        return write(() -> apply(writes));
    }

    @Override
    public CompletableFuture<Void> putObject(String name, byte[] content) {
        return write(
                () -> {
                    objects.put(name, content.clone());
                    return true;
                });
    }

    @Override
    public CompletableFuture<List<Row>> read(List<RowKey> keys) {
        return answer(
                () ->
                        keys.stream()
                                .map(key -> row(key.table(), key.key()))
                                .flatMap(Optional::stream)
                                .toList());
    }

    @Override
    public CompletableFuture<List<Row>> scan(
            String table, String keyPrefix, String afterKey, int limit) {
        return answer(
                () ->
                        new ArrayList<>(table(table).values())
                                .stream()
                                        .filter(row -> row.key().key().startsWith(keyPrefix))
                                        .filter(row -> row.key().key().compareTo(afterKey) > 0)
                                        .limit(limit)
                                        .toList());
    }

    @Override
    public CompletableFuture<Optional<byte[]>> getObject(String name) {
        return answer(() -> Optional.ofNullable(objects.get(name)));
    }

    @Override
    public CompletableFuture<List<String>> listObjects(String prefix) {
        return answer(
                () -> objects.keySet().stream().filter(name -> name.startsWith(prefix)).toList());
    }

    @Override
    public CompletableFuture<List<ListedHost>> hosts() {
        return answer(() -> hosts);
    }

    private NavigableMap<String, Row> table(String name) {
        return tables.computeIfAbsent(name, table -> new TreeMap<>());
    }

    private boolean apply(List<Write> writes) {
        for (Write write : writes) {
            long version = row(write.key().table(), write.key().key()).map(Row::version).orElse(0L);
            if (write.expectedVersion() != Write.ANY && write.expectedVersion() != version) {
                return false;
            }
        }
        for (Write write : writes) {
            NavigableMap<String, Row> table = table(write.key().table());
            Row old = table.remove(write.key().key());
            long version = old == null ? 1 : old.version() + 1;
            write.value()
                    .ifPresent(
                            value ->
                                    table.put(
                                            write.key().key(),
                                            new Row(write.key(), version, value)));
        }
        return true;
    }

    private CompletableFuture<Void> write(Supplier<Boolean> effect) {
        CompletableFuture<Void> future = new CompletableFuture<>();
        Fault fault = faults.isEmpty() ? defaultFault.get() : faults.remove();
        time.schedule(latencyMilliseconds, () -> arrive(fault, effect, future));
        return future;
    }

    private void arrive(Fault fault, Supplier<Boolean> effect, CompletableFuture<Void> future) {
        if (down || fault == Fault.REFUSED) {
            fail(future, ResultCode.PLATFORM_UNAVAILABLE);
            return;
        }
        if (fault == Fault.WRITE_LATE) {
            time.schedule(
                    lateMilliseconds,
                    () -> {
                        boolean unused = effect.get();
                    });
        }
        if (fault == Fault.WRITE_LATE || fault == Fault.WRITE_LOST) {
            fail(future, ResultCode.PLATFORM_ANSWER_LOST);
            return;
        }
        boolean done = effect.get();
        if (fault == Fault.ANSWER_LOST) {
            fail(future, ResultCode.PLATFORM_ANSWER_LOST);
        } else if (done) {
            time.schedule(latencyMilliseconds, () -> future.complete(null));
        } else {
            fail(future, ResultCode.CONDITION_FAILED);
        }
    }

    private <T> CompletableFuture<T> answer(Supplier<T> query) {
        CompletableFuture<T> future = new CompletableFuture<>();
        time.schedule(
                latencyMilliseconds,
                () -> {
                    if (down) {
                        fail(future, ResultCode.PLATFORM_UNAVAILABLE);
                        return;
                    }
                    T value = query.get();
                    time.schedule(latencyMilliseconds, () -> future.complete(value));
                });
        return future;
    }

    private void fail(CompletableFuture<?> future, ResultCode code) {
        time.schedule(
                latencyMilliseconds,
                () -> future.completeExceptionally(new ResultException(code, "fake")));
    }
}
