package org.siskinramp.journal;

import java.util.concurrent.CompletableFuture;
import org.siskinramp.platform.Platform;

/** Collects the request keys of written batches and writes them as an index. Not thread-safe. */
final class IndexWriter {

    private final String host;
    private final String incarnation;
    private final JournalOptions options;
    private KeyIndex keys = new KeyIndex();
    private long firstSequence = 1;
    private long lastSequence;
    private long lastWriteAt;

    IndexWriter(String host, String incarnation, JournalOptions options) {
        this.host = host;
        this.incarnation = incarnation;
        this.options = options;
    }

    void start(long now) {
        lastWriteAt = now;
    }

    void add(JournalBatch batch) {
        keys.add(batch);
        lastSequence = batch.sequence();
    }

    boolean isDue(long now, boolean closing) {
        boolean intervalElapsed =
                closing || now - lastWriteAt >= options.indexIntervalMilliseconds();
        return intervalElapsed && lastSequence >= firstSequence;
    }

    CompletableFuture<Void> write(Platform platform, long now, long calendarMilliseconds) {
        IndexName name =
                new IndexName(host, incarnation, firstSequence, lastSequence, calendarMilliseconds);
        return platform.putObject(name.objectName(), keys.write())
                .thenRun(
                        () -> {
                            keys = new KeyIndex();
                            firstSequence = lastSequence + 1;
                            lastWriteAt = now;
                        });
    }
}
