package org.siskinramp.journal;

import java.util.concurrent.CompletableFuture;
import org.siskinramp.platform.Platform;

/** Collects the keys of written batches and writes them as an index. It is used by one thread. */
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
        boolean ripe = closing || now - lastWriteAt >= options.indexIntervalMilliseconds();
        return ripe && lastSequence >= firstSequence;
    }

    CompletableFuture<Void> write(Platform platform, long now, long calendar) {
        IndexName name = new IndexName(host, incarnation, firstSequence, lastSequence, calendar);
        return platform.putObject(name.objectName(), keys.write())
                .thenRun(
                        () -> {
                            keys = new KeyIndex();
                            firstSequence = lastSequence + 1;
                            lastWriteAt = now;
                        });
    }
}
