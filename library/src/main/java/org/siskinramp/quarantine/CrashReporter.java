package org.siskinramp.quarantine;

import java.util.List;

/** Reports to other hosts which requests crash backend servers. */
public interface CrashReporter {

    /** Reports nothing. */
    CrashReporter NONE =
            new CrashReporter() {
                @Override
                public void report(List<Crash> crashes) {
                    // There is no other host to report to.
                }

                @Override
                public void clearRequest(String content) {
                    // There is no other host to report to.
                }
            };

    /**
     * Reports crashes that this host confirmed.
     *
     * @param crashes the crashes, which are in the quarantine of this host already
     */
    void report(List<Crash> crashes);

    /**
     * Clears a request, since a server ran it to completion: its crashes no longer count.
     *
     * @param content its fingerprint
     */
    void clearRequest(String content);
}
