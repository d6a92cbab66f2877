package org.siskinramp.rollout;

/**
 * Orders that the requests of a service move to the backend servers of another software version.
 *
 * @param service the service
 * @param target the software version that is to serve the requests
 * @param durationMilliseconds the time from the order to its deadline
 * @param rowVersion the version of the order's row, without the era of the store
 * @param version the position of the version of the row, which orders the versions of all eras
 */
public record RolloutOrder(
        String service, String target, long durationMilliseconds, long rowVersion, long version) {

    /**
     * Tells whether another order is the same one, possibly read after the store was restored from
     * a copy that held it: the copy keeps the versions of its rows and only the era differs.
     *
     * @param other the other order
     * @return true if service, target and the version within the era are the same
     */
    public boolean isSameAs(RolloutOrder other) {
        return service.equals(other.service)
                && target.equals(other.target)
                && rowVersion == other.rowVersion;
    }
}
