package org.siskinramp.daemon.commandline;

import org.siskinramp.daemon.settings.Settings;

/** Runs an entry host until the process is terminated. */
@FunctionalInterface
public interface EntryHostRunner {

    /**
     * Runs an entry host.
     *
     * @param settings the checked settings
     * @return the exit status
     */
    ExitStatus run(Settings settings);
}
