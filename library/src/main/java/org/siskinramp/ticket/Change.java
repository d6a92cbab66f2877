package org.siskinramp.ticket;

import java.util.List;
import java.util.Optional;
import org.siskinramp.platform.Write;

/**
 * Plans one change of the configuration.
 *
 * @param <T> the type of the receipt
 */
@FunctionalInterface
interface Change<T> {

    /**
     * Plans the change against a snapshot.
     *
     * @param snapshot the rows as they are
     * @param doubtful whether an earlier transaction of this change may have taken effect
     * @return what to write; fails with a result code if the change is refused
     */
    Plan<T> plan(Snapshot snapshot, boolean doubtful);

    /**
     * Holds the writes of a change and its receipt.
     *
     * @param writes the writes, or empty if the change is in force
     * @param receipt the receipt once the writes are durable
     * @param <T> the type of the receipt
     */
    record Plan<T>(Optional<List<Write>> writes, T receipt) {

        static <T> Plan<T> done(T receipt) {
            return new Plan<>(Optional.empty(), receipt);
        }

        static <T> Plan<T> write(List<Write> writes, T receipt) {
            return new Plan<>(Optional.of(writes), receipt);
        }
    }
}
