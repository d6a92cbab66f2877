package org.siskinramp.fleet;

import org.siskinramp.configuration.BackendServer;

/**
 * Holds what a backend server published of itself.
 *
 * @param server its description
 * @param leaving whether it drains
 * @param coldMilliseconds how much longer it was cold when it published this, 0 if it was warm
 * @param bornMilliseconds the calendar time of its start
 * @param sequence a count of its publications since its start
 */
public record ServerEntry(
        BackendServer server,
        boolean leaving,
        long coldMilliseconds,
        long bornMilliseconds,
        long sequence) {

    /**
     * Tells whether this entry was published before another one of the same server.
     *
     * @param other the other entry
     * @return true if it is of an earlier start, or of the same start with a lower count
     */
    public boolean isOlderThan(ServerEntry other) {
        return bornMilliseconds < other.bornMilliseconds
                || (bornMilliseconds == other.bornMilliseconds && sequence < other.sequence);
    }
}
