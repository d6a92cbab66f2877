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

/** Sums up measured runs and writes them as a page with pictures. */
public final class Report {

    private static final String PAGE = "MEASUREMENTS.md";
    private static final String PICTURES = "measurements";

    private final List<Summary> summaries;

    private Report(List<Summary> summaries) {
        this.summaries = List.copyOf(summaries);
    }

    /**
     * Reads a file with a line for each run; other lines are passed over.
     *
     * @param file the file
     * @return the report
     * @throws IOException if the file cannot be read
     * @throws ResultException with {@link ResultCode#USAGE} if it holds no run
     */
    public static Report read(Path file) throws IOException {
        Map<String, List<RunLine>> groups = new LinkedHashMap<>();
        Files.readAllLines(file).stream()
                .filter(RunLine::isRun)
                .map(RunLine::parse)
                .forEach(
                        run ->
                                groups.computeIfAbsent(group(run), key -> new ArrayList<>())
                                        .add(run));
        if (groups.isEmpty()) {
            throw new ResultException(ResultCode.USAGE, "no runs in " + file);
        }
        return new Report(groups.values().stream().map(Summary::new).toList());
    }

    /**
     * Returns the summaries in the order of the first runs.
     *
     * @return a summary for each deployment, scenario and policy
     */
    public List<Summary> summaries() {
        return summaries;
    }

    /**
     * Writes the page, and its pictures into a directory beside it.
     *
     * @param directory where to; it is created
     * @param head where the figures come from
     * @throws IOException if they cannot be written
     */
    public void writeTo(Path directory, ReportHead head) throws IOException {
        Path pictureDirectory = directory.resolve(PICTURES);
        Files.createDirectories(pictureDirectory);
        List<Picture> pictures = Pictures.of(summaries);
        for (Picture picture : pictures) {
            Files.writeString(pictureDirectory.resolve(picture.fileName()), picture.content());
        }
        Files.writeString(
                directory.resolve(PAGE), new Page(summaries, pictures, PICTURES).write(head));
    }

    private static String group(RunLine run) {
        return run.text("deployment") + " " + run.text("scenario") + " " + run.text("policy");
    }
}
