package org.siskinramp.workspace;

import java.util.List;

/**
 * Describes a workspace. Its requests bear one of its keys.
 *
 * @param name the unique name
 * @param rank the rank of its requests, which takes precedence over that of their routes; {@link
 *     #NO_RANK} if the routes determine it
 * @param requestsPerSecond the requests per second that all hosts together serve; 0 for no limit
 * @param burst how many more requests may be served at once
 * @param keys the digests of its keys
 */
public record Workspace(
        String name, int rank, double requestsPerSecond, double burst, List<KeyDigest> keys) {

    /** The rank of a workspace whose requests have the ranks of their routes. */
    public static final int NO_RANK = -1;

    /**
     * Copies the list so that the workspace cannot change.
     *
     * @param name the unique name
     * @param rank the rank of its requests
     * @param requestsPerSecond the requests per second
     * @param burst how many more requests may be served at once
     * @param keys the digests of its keys
     */
    public Workspace {
        keys = List.copyOf(keys);
    }

    /**
     * Returns the rank of a request of this workspace.
     *
     * @param routeRank the rank of its route
     * @return the rank, 0 is the most urgent
     */
    public int rankOf(int routeRank) {
        return rank == NO_RANK ? routeRank : rank;
    }

    /**
     * Tells whether the number of its requests is limited.
     *
     * @return true if it has a quota
     */
    public boolean hasQuota() {
        return requestsPerSecond > 0;
    }
}
