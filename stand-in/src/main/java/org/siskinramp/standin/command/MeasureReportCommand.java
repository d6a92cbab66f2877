package org.siskinramp.standin.command;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;
import org.siskinramp.log.EventLog;
import org.siskinramp.standin.measurement.report.Report;
import org.siskinramp.standin.measurement.report.ReportHead;

/** Writes a report with charts from the result lines of measurement runs. */
public final class MeasureReportCommand implements StandInCommand {

    @Option(name = "--runs", required = true, usage = "file with the result lines of the runs")
    private Path runs;

    @Option(name = "--report", required = true, usage = "directory to write the report to")
    private Path directory;

    @Option(name = "--command", usage = "command line of the measurement")
    private String command = "unknown";

    @Option(name = "--commit", usage = "commit that was measured")
    private String commit = "unknown";

    @Option(name = "--machine", usage = "machine and its load")
    private String machine = "unknown";

    @Option(name = "--note", usage = "remark for readers of the report")
    private String note = "";

    @Override
    public int run(EventLog output) {
        try {
            Report report = Report.read(runs);
            report.summaries().forEach(summary -> output.record(summary.toEvent()));
            report.writeTo(directory, new ReportHead(command, commit, machine, note));
        } catch (IOException failure) {
            throw new UncheckedIOException("cannot write the report", failure);
        }
        return 0;
    }
}
