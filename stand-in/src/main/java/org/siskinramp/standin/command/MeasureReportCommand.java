package org.siskinramp.standin.command;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;
import org.siskinramp.log.EventLog;
import org.siskinramp.standin.measurement.report.Report;
import org.siskinramp.standin.measurement.report.ReportHead;

/** Sums up the lines of measured runs as a page with pictures. */
public final class MeasureReportCommand implements StandInCommand {

    @Option(name = "--runs", required = true, usage = "file with a line for each run")
    private Path runs;

    @Option(name = "--report", required = true, usage = "directory to write to")
    private Path directory;

    @Option(name = "--command", usage = "the command that gave the runs")
    private String command = "unknown";

    @Option(name = "--commit", usage = "the commit that was measured")
    private String commit = "unknown";

    @Option(name = "--machine", usage = "the machine and its load")
    private String machine = "unknown";

    @Option(name = "--note", usage = "what a reader must know of these figures")
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
