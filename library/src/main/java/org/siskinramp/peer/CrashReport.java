package org.siskinramp.peer;

import java.util.List;
import org.siskinramp.quarantine.Crash;

/**
 * Tells a host that reads the table of crashes what its sender proved.
 *
 * @param crashes servers that ended under requests
 * @param acquitted the fingerprints of requests that a server ran to their end
 */
public record CrashReport(List<Crash> crashes, List<String> acquitted) implements PeerMessage {

    /**
     * Copies the lists so that the message cannot change.
     *
     * @param crashes servers that ended under requests
     * @param acquitted the fingerprints of requests that ran to their end
     */
    public CrashReport {
        crashes = List.copyOf(crashes);
        acquitted = List.copyOf(acquitted);
    }
}
