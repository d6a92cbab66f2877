package org.siskinramp.fleet;

import org.siskinramp.configuration.BackendServer;

/**
 * Holds the entry that a backend server published in the servers table.
 *
 * @param server the description of the server
 * @param leaving whether the server drains
 * @param remainingWarmUpMilliseconds the remaining warm-up time when the entry was published, 0 if
 *     the server was warm
 * @param startedMilliseconds the calendar time at which the server process started
 * @param sequence the number of entries that the server process has published so far
 * @param softwareVersion the version of the software that the server runs, empty if unknown
 */
public record ServerEntry(
        BackendServer server,
        boolean leaving,
        long remainingWarmUpMilliseconds,
        long startedMilliseconds,
        long sequence,
        String softwareVersion) {

    /**
     * Creates the entry of a server whose software version is unknown.
     *
     * @param server the description of the server
     * @param leaving whether the server drains
     * @param remainingWarmUpMilliseconds the remaining warm-up time
     * @param startedMilliseconds the calendar time at which the server process started
     * @param sequence the number of entries so far
     */
    public ServerEntry(
            BackendServer server,
            boolean leaving,
            long remainingWarmUpMilliseconds,
            long startedMilliseconds,
            long sequence) {
        this(server, leaving, remainingWarmUpMilliseconds, startedMilliseconds, sequence, "");
    }

    /**
     * Tells whether this entry was published before another one of the same server.
     *
     * @param other the other entry
     * @return true if it is of an earlier server process, or of the same one with a lower sequence
     *     number
     */
    public boolean isOlderThan(ServerEntry other) {
        return startedMilliseconds < other.startedMilliseconds
                || (startedMilliseconds == other.startedMilliseconds && sequence < other.sequence);
    }
}
