package org.siskinramp.daemon.commandline;

import java.nio.file.Path;
import org.kohsuke.args4j.Option;
import org.siskinramp.daemon.settings.Settings;
import org.siskinramp.daemon.settings.SettingsFile;
import org.siskinramp.daemon.settings.SettingsReport;

/** Runs an entry host. */
final class EntryHostCommand extends Command {

    @Option(name = "--settings", metaVar = "FILE", required = true, usage = "the settings file")
    private Path settings;

    private final EntryHostRunner runner;

    EntryHostCommand(EntryHostRunner runner) {
        this.runner = runner;
    }

    @Override
    ExitStatus run(Console console) {
        SettingsReport<Settings> report = SettingsFile.check(settings);
        if (!report.isValid()) {
            return SettingsCheckCommand.printErrors(report, settings, console);
        }
        return runner.run(report.settings());
    }
}
