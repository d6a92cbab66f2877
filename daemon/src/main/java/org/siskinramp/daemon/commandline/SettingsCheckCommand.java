package org.siskinramp.daemon.commandline;

import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.siskinramp.daemon.settings.Settings;
import org.siskinramp.daemon.settings.SettingsError;
import org.siskinramp.daemon.settings.SettingsFile;
import org.siskinramp.daemon.settings.SettingsReport;
import org.siskinramp.log.LogEvent;
import org.siskinramp.result.ResultCode;

/** Checks a settings file. */
final class SettingsCheckCommand extends Command {

    @Argument(metaVar = "FILE", required = true, usage = "the settings file")
    private Path settings;

    @Override
    ExitStatus run(Console console) {
        SettingsReport<Settings> report = SettingsFile.check(settings);
        if (!report.isValid()) {
            return printErrors(report, settings, console);
        }
        console.output().println(TextLine.of(LogEvent.named("valid").with("file", settings)));
        return ExitStatus.SUCCESS;
    }

    static ExitStatus printErrors(SettingsReport<?> report, Path file, Console console) {
        report.errors().forEach(error -> console.errors().println(errorLine(error, file)));
        return ExitStatus.FAILURE;
    }

    private static String errorLine(SettingsError error, Path file) {
        return TextLine.of(
                LogEvent.named("error")
                        .with("code", ResultCode.SETTINGS_INVALID.number())
                        .with("name", ResultCode.SETTINGS_INVALID.name())
                        .with("file", file)
                        .with("line", error.line())
                        .with("key", error.key())
                        .with("problem", error.problem())
                        .with("allowed", error.allowed()));
    }
}
