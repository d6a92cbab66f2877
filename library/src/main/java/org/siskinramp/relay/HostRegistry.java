package org.siskinramp.relay;

import java.util.concurrent.CompletableFuture;

/** Keeps the entries of hosts where all hosts read them. */
@FunctionalInterface
public interface HostRegistry {

    /**
     * Writes the entry of this host, in place of one that it wrote before.
     *
     * @param entry the entry
     * @return done once the entry is kept; fails with a {@link
     *     org.siskinramp.result.ResultException}, after which the entry may be kept or not
     */
    CompletableFuture<Void> publish(HostEntry entry);
}
