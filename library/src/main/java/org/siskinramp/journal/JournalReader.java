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

/** Finds the entries of one request in the journals of all entry hosts. Use an instance once. */
final class JournalReader {

    private static final int CONCURRENT_READS = 32;

    /** Hosts whose calendar clocks are ahead may name batches after a later hour. */
    private static final long CLOCK_MARGIN_MILLISECONDS = 300_000;

    private final Platform platform;
    private final JournalOptions options;
    private final RequestKey key;
    private final long now;
    private final long from;
    private final List<IncarnationMarker> markers = new ArrayList<>();
    private final BatchSelection selection = new BatchSelection();
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

    CompletableFuture<JournalSearchResult> find() {
        return listNames()
                .thenRun(selection::selectUnindexed)
                .thenCompose(
                        ignored ->
                                readAll(
                                        selection.indexes(),
                                        IndexName::objectName,
                                        this::processIndex))
                .thenCompose(
                        ignored ->
                                readAll(
                                        List.copyOf(selection.selected()),
                                        BatchName::objectName,
                                        this::processBatch))
                .thenApply(ignored -> searchResult());
    }

    /**
     * Lists the markers before the batches, so that the batches before each listed end marker are
     * listed too.
     */
    private CompletableFuture<Void> listNames() {
        CompletableFuture<Void> listed =
                platform.listObjects(IncarnationMarker.PREFIX)
                        .thenAccept(
                                names ->
                                        names.forEach(
                                                name ->
                                                        IncarnationMarker.parse(name)
                                                                .ifPresent(markers::add)));
        for (String prefix : ObjectNames.hourPrefixes(from, now + CLOCK_MARGIN_MILLISECONDS)) {
            listed =
                    listed.thenCompose(ignored -> platform.listObjects(prefix))
                            .thenAccept(names -> names.forEach(selection::add));
        }
        return listed.thenCompose(ignored -> platform.hosts()).thenAccept(list -> hosts = list);
    }

    /**
     * Reads objects, several concurrently, and passes the content of each to the consumer: empty if
     * the object is missing.
     */
    private <T> CompletableFuture<Void> readAll(
            List<T> objects, Function<T, String> nameOf, BiConsumer<T, Optional<byte[]>> consumer) {
        CompletableFuture<Void> done = CompletableFuture.completedFuture(null);
        for (int start = 0; start < objects.size(); start += CONCURRENT_READS) {
            List<T> group =
                    objects.subList(start, Math.min(objects.size(), start + CONCURRENT_READS));
            done = done.thenCompose(ignored -> readGroup(group, nameOf, consumer));
        }
        return done;
    }

    private <T> CompletableFuture<Void> readGroup(
            List<T> group, Function<T, String> nameOf, BiConsumer<T, Optional<byte[]>> consumer) {
        List<CompletableFuture<Optional<byte[]>>> reads =
                group.stream().map(object -> platform.getObject(nameOf.apply(object))).toList();
        return CompletableFuture.allOf(reads.toArray(CompletableFuture<?>[]::new))
                .thenRun(
                        () -> {
                            for (int position = 0; position < group.size(); position++) {
                                consumer.accept(group.get(position), reads.get(position).join());
                            }
                        });
    }

    private void processIndex(IndexName index, Optional<byte[]> content) {
        selection.selectIndexed(index, content.flatMap(this::batchesOfKey));
    }

    private Optional<Set<Long>> batchesOfKey(byte[] content) {
        try {
            return Optional.of(KeyIndex.read(content).batchesOf(key));
        } catch (ResultException malformed) {
            return Optional.empty();
        }
    }

    private void processBatch(BatchName name, Optional<byte[]> content) {
        Optional<JournalBatch> batch = content.flatMap(JournalReader::readBatch);
        if (batch.isEmpty()) {
            gaps.add(gapOfUnreadableBatch(name));
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

    private JournalGap gapOfUnreadableBatch(BatchName name) {
        return new JournalGap(
                name.host(),
                name.incarnation(),
                from,
                name.coveredUntilMilliseconds(),
                name.entries(),
                "a batch is missing or malformed");
    }

    private JournalSearchResult searchResult() {
        JournalCoverage coverage =
                JournalCoverage.of(
                        markers,
                        selection.all(),
                        hosts,
                        from,
                        now,
                        options.lostAfterMilliseconds());
        gaps.addAll(coverage.gaps());
        entries.sort(Comparator.comparingLong(found -> found.entry().arrivedMilliseconds()));
        return new JournalSearchResult(entries, gaps, from, coverage.completeUntil());
    }
}
