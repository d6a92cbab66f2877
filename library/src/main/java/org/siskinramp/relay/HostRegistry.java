package org.siskinramp.relay;

import java.util.concurrent.CompletableFuture;

/** Stores the entries of hosts in a table that all hosts read. */
@FunctionalInterface
public interface HostRegistry {

    /**
     * Writes the entry of this host, and replaces its earlier entry.
     *
     * @param entry the entry
     * @return completes when the entry is stored; fails with a {@link
     *     org.siskinramp.result.ResultException}, after which the entry may or may not be stored
     */
    CompletableFuture<Void> publish(HostEntry entry);
}
