package org.siskinramp.quota;

/**
 * Tells how many hosts mint tokens, as far as this host knows.
 *
 * @param hosts the number of hosts, 0 if it is unknown
 * @param ageMilliseconds for how long it was not confirmed
 * @param wasCountedAtStart whether the other hosts counted this one before it started, or all hosts
 *     start now for the first time
 * @param knownForMilliseconds for how long the hosts table has contained this host
 */
public record HostCount(
        int hosts, long ageMilliseconds, boolean wasCountedAtStart, long knownForMilliseconds) {

    /** The count of a host that does not know the others. */
    public static final HostCount UNKNOWN = new HostCount(0, 0, false, 0);

    /** Longer than the 10 s between reads of the hosts table, with time to pass the count on. */
    private static final long ADDED_HOST_WAIT_MILLISECONDS = 12_000;

    /** Shorter than the wait of added hosts, which other hosts must have counted by then. */
    private static final long CONFIRMATION_LIMIT_MILLISECONDS = 11_500;

    /** By how much the hosts may multiply while a host is cut off. */
    private static final double ASSUMED_GROWTH = 1.25;

    /**
     * Returns among how many hosts this one divides the rate of a quota. An added host mints
     * nothing while the others still divide the whole rate among themselves. A host that is cut off
     * assumes that hosts were added, which divide the rate among more than it knows.
     *
     * @return the number of hosts; 0 if this host must mint nothing
     */
    public int divisor() {
        if (!wasCountedAtStart && knownForMilliseconds < ADDED_HOST_WAIT_MILLISECONDS) {
            return 0;
        }
        boolean isConfirmed = ageMilliseconds < CONFIRMATION_LIMIT_MILLISECONDS;
        return isConfirmed ? hosts : (int) Math.ceil(hosts * ASSUMED_GROWTH);
    }
}
