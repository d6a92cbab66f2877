package org.siskinramp.daemon.commandline;

import org.siskinramp.daemon.settings.Settings;

/** Runs an entry host until it is told to stop. */
@FunctionalInterface
public interface EntryHostRunner {

    /**
     * Runs an entry host.
     *
     * @param settings its settings
     * @return how it ended
     */
    ExitStatus run(Settings settings);
}
