package org.siskinramp.relay;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.quarantine.Crash;

/** Keeps crashes where all hosts read them. */
public interface CrashRegistry {

    /** The greatest number of crashes in one call. */
    int ENTRIES_AT_MOST = 100;

    /**
     * Writes crashes and removes others, all or none.
     *
     * @param added the crashes to write
     * @param removed the keys of those to remove
     * @return done once it is kept; fails with a {@link org.siskinramp.result.ResultException},
     *     after which it may be kept or not
     */
    CompletableFuture<Void> write(List<Crash> added, List<String> removed);
}
