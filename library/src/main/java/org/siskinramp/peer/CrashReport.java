package org.siskinramp.peer;

import java.util.List;
import org.siskinramp.quarantine.Crash;

/**
 * Reports crashes that its sender confirmed, to a host that reads the crashes table.
 *
 * @param crashes crashes of backend servers while they ran a request
 * @param clearedContents the fingerprints of requests that a backend server completed, and whose
 *     crashes therefore no longer count
 */
public record CrashReport(List<Crash> crashes, List<String> clearedContents)
        implements PeerMessage {

    /**
     * Copies the lists so that the message cannot change.
     *
     * @param crashes the crashes
     * @param clearedContents the fingerprints of requests that were completed
     */
    public CrashReport {
        crashes = List.copyOf(crashes);
        clearedContents = List.copyOf(clearedContents);
    }
}
