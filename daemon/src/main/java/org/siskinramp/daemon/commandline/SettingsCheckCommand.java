package org.siskinramp.daemon.commandline;

import org.kohsuke.args4j.Argument;
import org.siskinramp.daemon.settings.Settings;
import org.siskinramp.daemon.settings.SettingsFault;
import org.siskinramp.daemon.settings.SettingsFile;
import org.siskinramp.daemon.settings.SettingsReport;
import org.siskinramp.log.LogEvent;
import org.siskinramp.result.ResultCode;

import java.nio.file.Path;

/** Checks a settings file. */
final class SettingsCheckCommand extends Command {

    @Argument(metaVar = "FILE", required = true, usage = "the settings file")
    private Path settings;

    @Override
    ExitStatus run(Console console) {
        SettingsReport<Settings> report = SettingsFile.check(settings);
        if (!report.isValid()) {
            return printFaults(report, settings, console);
        }
        console.output().println(TextLine.of(LogEvent.named("valid").with("file", settings)));
        return ExitStatus.SUCCESS;
    }

    static ExitStatus printFaults(SettingsReport<?> report, Path file, Console console) {
        report.faults().forEach(fault -> console.errors().println(faultLine(fault, file)));
        return ExitStatus.FAILURE;
    }

    private static String faultLine(SettingsFault fault, Path file) {
        return TextLine.of(
                LogEvent.named("error")
                        .with("code", ResultCode.SETTINGS_INVALID.number())
                        .with("name", ResultCode.SETTINGS_INVALID.name())
                        .with("file", file)
                        .with("line", fault.line())
                        .with("key", fault.key())
                        .with("problem", fault.problem())
                        .with("allowed", fault.allowed()));
    }
}
