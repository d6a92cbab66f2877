package org.siskinramp.standin.platform;

import java.util.List;

/**
 * The result of a transaction.
 *
 * @param versions the new version of each written row, 0 for a deleted one; empty if the
 *     transaction was not committed
 * @param failed the indexes of the writes whose conditions do not hold; empty if the transaction
 *     was committed
 */
record CommitResult(List<Long> versions, List<Integer> failed) {

    boolean isCommitted() {
        return failed.isEmpty();
    }
}
