package org.siskinramp.rollout;

import java.util.concurrent.CompletableFuture;

/** Stores the states of orders. */
public interface RolloutRegistry {

    /**
     * Reads the state of the last order of a service.
     *
     * @param service the service
     * @return the state, with the versions on which a write builds
     */
    CompletableFuture<RecordedRollout> read(String service);

    /**
     * Writes the state of an order and its status row in one transaction.
     *
     * @param state the new state
     * @param base what was read before; the write fails if either row has changed since then
     * @return fails if nothing is known to be written
     */
    CompletableFuture<Void> write(RolloutRecord state, RecordedRollout base);
}
