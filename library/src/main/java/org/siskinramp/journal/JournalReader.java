package org.siskinramp.journal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.siskinramp.platform.ListedHost;
import org.siskinramp.platform.Platform;
import org.siskinramp.request.RequestKey;
import org.siskinramp.result.ResultException;

/** Finds the entries of one request in the journals of all entry hosts. It is used once. */
final class JournalReader {

    private static final int READS_AT_ONCE = 32;
    private static final long CLOCK_MARGIN_MILLISECONDS = 300_000;

    private final Platform platform;
    private final JournalOptions options;
    private final RequestKey key;
    private final long now;
    private final long from;
    private final List<Marker> markers = new ArrayList<>();
    private final BatchTable table = new BatchTable();
    private final List<RecordedEntry> entries = new ArrayList<>();
    private final List<JournalGap> gaps = new ArrayList<>();
    private List<ListedHost> hosts = List.of();

    JournalReader(Platform platform, JournalOptions options, RequestKey key, long now) {
        this.platform = platform;
        this.options = options;
        this.key = key;
        this.now = now;
        this.from = now - options.lookbackMilliseconds();
    }

    CompletableFuture<JournalFindings> find() {
        return listNames()
                .thenRun(table::chooseUnindexed)
                .thenCompose(
                        nothing -> readAll(table.indexes(), IndexName::objectName, this::takeIndex))
                .thenCompose(
                        nothing ->
                                readAll(
                                        List.copyOf(table.toRead()),
                                        BatchName::objectName,
                                        this::takeBatch))
                .thenApply(nothing -> findings());
    }

    /** Lists the markers first, so that no end is seen without the batches before it. */
    private CompletableFuture<Void> listNames() {
        CompletableFuture<Void> listed =
                platform.listObjects(Marker.PREFIX)
                        .thenAccept(
                                names ->
                                        names.forEach(
                                                name ->
                                                        Marker.parse(name)
                                                                .ifPresent(markers::add)));
        for (String prefix : ObjectNames.hourPrefixes(from, now + CLOCK_MARGIN_MILLISECONDS)) {
            listed =
                    listed.thenCompose(nothing -> platform.listObjects(prefix))
                            .thenAccept(names -> names.forEach(table::add));
        }
        return listed.thenCompose(nothing -> platform.hosts()).thenAccept(list -> hosts = list);
    }

    /** Reads objects, some at once, and hands each over, or nothing if it is missing. */
    private <T> CompletableFuture<Void> readAll(
            List<T> objects, Function<T, String> nameOf, BiConsumer<T, Optional<byte[]>> target) {
        CompletableFuture<Void> done = CompletableFuture.completedFuture(null);
        for (int start = 0; start < objects.size(); start += READS_AT_ONCE) {
            List<T> group = objects.subList(start, Math.min(objects.size(), start + READS_AT_ONCE));
            done = done.thenCompose(nothing -> readGroup(group, nameOf, target));
        }
        return done;
    }

    private <T> CompletableFuture<Void> readGroup(
            List<T> group, Function<T, String> nameOf, BiConsumer<T, Optional<byte[]>> target) {
        List<CompletableFuture<Optional<byte[]>>> reads =
                group.stream().map(object -> platform.getObject(nameOf.apply(object))).toList();
        return CompletableFuture.allOf(reads.toArray(CompletableFuture<?>[]::new))
                .thenRun(
                        () -> {
                            for (int position = 0; position < group.size(); position++) {
                                target.accept(group.get(position), reads.get(position).join());
                            }
                        });
    }

    private void takeIndex(IndexName index, Optional<byte[]> content) {
        table.chooseIndexed(index, content.flatMap(this::batchesOfKey));
    }

    private Optional<Set<Long>> batchesOfKey(byte[] content) {
        try {
            return Optional.of(KeyIndex.read(content).batchesOf(key));
        } catch (ResultException malformed) {
            return Optional.empty();
        }
    }

    private void takeBatch(BatchName name, Optional<byte[]> content) {
        Optional<JournalBatch> batch = content.flatMap(JournalReader::readBatch);
        if (batch.isEmpty()) {
            gaps.add(unreadable(name));
            return;
        }
        batch.get().entries().stream()
                .filter(entry -> entry.key().equals(key))
                .map(entry -> new RecordedEntry(name.host(), name.incarnation(), entry))
                .forEach(entries::add);
        gaps.addAll(batch.get().gaps());
    }

    private static Optional<JournalBatch> readBatch(byte[] content) {
        try {
            return Optional.of(BatchCodec.read(content));
        } catch (ResultException malformed) {
            return Optional.empty();
        }
    }

    private JournalGap unreadable(BatchName name) {
        return new JournalGap(
                name.host(),
                name.incarnation(),
                from,
                name.coveredUntilMilliseconds(),
                name.entries(),
                "a batch is missing or malformed");
    }

    private JournalFindings findings() {
        Coverage coverage =
                Coverage.of(
                        markers, table.all(), hosts, from, now, options.lostAfterMilliseconds());
        gaps.addAll(coverage.gaps());
        entries.sort(Comparator.comparingLong(found -> found.entry().arrivedMilliseconds()));
        return new JournalFindings(entries, gaps, from, coverage.completeUntil());
    }
}
