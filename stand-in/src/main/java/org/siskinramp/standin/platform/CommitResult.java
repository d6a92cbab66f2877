package org.siskinramp.standin.platform;

import java.util.List;

/**
 * Tells what became of a transaction.
 *
 * @param versions the new versions, or an empty list if a condition does not hold
 * @param failed the indexes of the writes whose conditions do not hold
 */
record CommitResult(List<Long> versions, List<Integer> failed) {

    boolean isCommitted() {
        return failed.isEmpty();
    }
}
