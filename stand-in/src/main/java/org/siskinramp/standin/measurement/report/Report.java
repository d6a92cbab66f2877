package org.siskinramp.standin.measurement.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Summarises measured runs and writes them as a page with charts. */
public final class Report {

    private static final String PAGE_FILE = "MEASUREMENTS.md";
    private static final String CHART_DIRECTORY = "measurements";

    private final List<Summary> summaries;

    private Report(List<Summary> summaries) {
        this.summaries = List.copyOf(summaries);
    }

    /**
     * Reads a file with one log line for each run. Other lines are ignored.
     *
     * @param file the file
     * @return the report
     * @throws IOException if the file cannot be read
     * @throws ResultException with {@link ResultCode#USAGE} if the file has no run
     */
    public static Report read(Path file) throws IOException {
        Map<String, List<RunLine>> groups = new LinkedHashMap<>();
        Files.readAllLines(file).stream()
                .filter(RunLine::isRun)
                .map(RunLine::parse)
                .forEach(
                        run ->
                                groups.computeIfAbsent(groupKey(run), key -> new ArrayList<>())
                                        .add(run));
        if (groups.isEmpty()) {
            throw new ResultException(ResultCode.USAGE, "no runs in " + file);
        }
        return new Report(groups.values().stream().map(Summary::new).toList());
    }

    /**
     * Returns the summaries, ordered by the first run of each in the file.
     *
     * @return a summary for each deployment, scenario and policy
     */
    public List<Summary> summaries() {
        return summaries;
    }

    /**
     * Writes the page, and its charts into a subdirectory.
     *
     * @param directory the directory to write to, created if it does not exist
     * @param head the origin of the results
     * @throws IOException if a file cannot be written
     */
    public void writeTo(Path directory, ReportHead head) throws IOException {
        Path chartDirectory = directory.resolve(CHART_DIRECTORY);
        Files.createDirectories(chartDirectory);
        List<RenderedChart> charts = ChartRenderer.renderAll(summaries);
        for (RenderedChart chart : charts) {
            Files.writeString(chartDirectory.resolve(chart.fileName()), chart.content());
        }
        Files.writeString(
                directory.resolve(PAGE_FILE),
                new MarkdownPage(summaries, charts, CHART_DIRECTORY).write(head));
    }

    private static String groupKey(RunLine run) {
        return run.text("deployment") + " " + run.text("scenario") + " " + run.text("policy");
    }
}
