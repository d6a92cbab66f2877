package org.siskinramp.relay;

import org.siskinramp.follow.ChangeFollower;
import org.siskinramp.quota.HostCount;

/**
 * Counts the hosts and remembers when the number was last confirmed. Hosts divide quotas by this
 * number, so a host must know whether the others count it. Guarded by the lock of its owner, except
 * for the recorded count, which is thread-safe.
 */
final class HostCounting {

    private static final int UNKNOWN_HOST_COUNT = 0;
    private static final long NEVER = -1;

    private final HostTable hostTable;
    private final boolean isFirstStart;
    private boolean hasReadTable;
    private boolean wasCountedAtStart;
    private long knownSince = NEVER;
    private int hosts;
    private long confirmedAt;

    HostCounting(HostTable hostTable, boolean isFirstStart) {
        this.hostTable = hostTable;
        this.isFirstStart = isFirstStart;
    }

    /**
     * Counts the hosts. While the table lacks this host it may lack others that start at the same
     * time, so the count is unknown.
     */
    int count(HostEntry self, long now) {
        return hostTable.contains(self) ? hostTable.count(self.name(), now) : UNKNOWN_HOST_COUNT;
    }

    /** Records that the hosts table was read. A host that restarted is named with its old entry. */
    synchronized void recordRead(HostEntry self, long now) {
        boolean namesThisHost = hostTable.addressOf(self.name()).isPresent();
        if (!hasReadTable) {
            hasReadTable = true;
            wasCountedAtStart = isFirstStart || namesThisHost;
        }
        if (namesThisHost && knownSince == NEVER) {
            knownSince = now;
        }
    }

    /**
     * Records a number that was read or that another host reported; returns whether it is known.
     */
    synchronized boolean recordCount(int count, long now) {
        if (count == UNKNOWN_HOST_COUNT) {
            return false;
        }
        hosts = count;
        confirmedAt = now;
        return true;
    }

    /** Returns the count; a read of the hosts table without changes also confirms it. */
    synchronized HostCount current(long now, ChangeFollower<HostChange> follower) {
        if (knownSince == NEVER || hosts == UNKNOWN_HOST_COUNT) {
            return HostCount.UNKNOWN;
        }
        long ageMilliseconds = Math.min(now - confirmedAt, follower.ageMilliseconds());
        return new HostCount(hosts, ageMilliseconds, wasCountedAtStart, now - knownSince);
    }
}
