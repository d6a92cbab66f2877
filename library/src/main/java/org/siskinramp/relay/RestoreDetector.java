package org.siskinramp.relay;

import org.siskinramp.follow.Changes;
import org.siskinramp.follow.StoreVersion;

/** Detects restores of the store in the changes of one table. Thread-safe. */
final class RestoreDetector {

    private long latestEra;

    /**
     * Tells whether a snapshot is the first one after a restore.
     *
     * @return false for all later snapshots of the same era
     */
    synchronized boolean detects(Changes<?> changes) {
        long era = StoreVersion.at(changes.version()).era();
        boolean isFirst = changes.isRestored() && era > latestEra;
        latestEra = isFirst ? era : latestEra;
        return isFirst;
    }
}
