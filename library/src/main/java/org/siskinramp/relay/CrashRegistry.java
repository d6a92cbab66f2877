package org.siskinramp.relay;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.quarantine.Crash;

/** Stores crashes in a table that all hosts read. */
public interface CrashRegistry {

    /** The maximum number of entries in one call. */
    int MAXIMUM_BATCH_ENTRIES = 100;

    /**
     * Writes crashes and removes others atomically.
     *
     * @param added the crashes to write
     * @param removed the keys of the crashes to remove
     * @return completes when the change is stored; fails with a {@link
     *     org.siskinramp.result.ResultException}, after which the change may or may not be stored
     */
    CompletableFuture<Void> write(List<Crash> added, List<String> removed);
}
