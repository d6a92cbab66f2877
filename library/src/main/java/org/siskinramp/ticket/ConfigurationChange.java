package org.siskinramp.ticket;

import java.util.List;
import java.util.Optional;
import org.siskinramp.platform.Write;

/**
 * A change of the configuration, which determines what to write for a given state of it.
 *
 * @param <T> the type of the receipt
 */
@FunctionalInterface
interface ConfigurationChange<T> {

    /**
     * Determines the writes that make the change. Called again with a new snapshot for each attempt
     * to commit it.
     *
     * @param snapshot the current rows
     * @param mayHaveCommitted whether an earlier attempt may have been committed, because the
     *     platform's answer was lost
     * @return the writes and the receipt
     * @throws org.siskinramp.result.ResultException with the reason if the change is refused
     */
    Plan<T> plan(Snapshot snapshot, boolean mayHaveCommitted);

    /**
     * Holds the writes of a change and its receipt.
     *
     * @param writes the writes, or empty if the change is already in force
     * @param receipt the receipt, valid once the writes are durable
     * @param <T> the type of the receipt
     */
    record Plan<T>(Optional<List<Write>> writes, T receipt) {

        static <T> Plan<T> alreadyInForce(T receipt) {
            return new Plan<>(Optional.empty(), receipt);
        }

        static <T> Plan<T> withWrites(List<Write> writes, T receipt) {
            return new Plan<>(Optional.of(writes), receipt);
        }
    }
}
