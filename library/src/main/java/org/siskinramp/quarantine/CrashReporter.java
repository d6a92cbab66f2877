package org.siskinramp.quarantine;

import java.util.List;

/** Tells other hosts which requests end backend servers. */
public interface CrashReporter {

    /** Tells nobody. */
    CrashReporter NONE =
            new CrashReporter() {
                @Override
                public void report(List<Crash> crashes) {
                    // Nobody is told.
                }

                @Override
                public void acquit(String content) {
                    // Nobody is told.
                }
            };

    /**
     * Reports crashes that this host proved.
     *
     * @param crashes the crashes, of which the quarantine of this host knows
     */
    void report(List<Crash> crashes);

    /**
     * Ends what is held against a request, since a server ran it to its end.
     *
     * @param content its fingerprint
     */
    void acquit(String content);
}
