package org.siskinramp.standin.measurement.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.siskinramp.result.ResultException;

final class ReportTest {

    private static final String RUNS =
            """
            event=measure_warm_up sent=9
            event=measure_run deployment=qazaq policy=slots scenario=steady-50 p99_ms=30 doubled=0
            event=measure_run deployment=qazaq policy=slots scenario=steady-50 p99_ms=10 doubled=0
            event=measure_run deployment=qazaq policy=slots scenario=steady-50 p99_ms=20.5 doubled=0
            event=measure_run deployment=qazaq policy=random scenario=steady-70 p99_ms=50 doubled=0
            event=measure_run deployment=qazaq policy=slots scenario=idle resident_mib_per_host=64
            """;

    @TempDir private Path directory;

    @Test
    void repeatsAreSummedUpByMedianAndSpread() throws IOException {
        Summary summary = read(RUNS).summaries().get(0);
        assertEquals(3, summary.repeats());
        assertEquals(
                "event=measure_summary deployment=qazaq policy=slots scenario=steady-50 repeats=3"
                        + " p99_ms=20.5 p99_ms_spread=10..30 doubled=0",
                summary.toEvent().toLine());
    }

    @Test
    void pageHoldsEveryRunAndNamesItsOrigin() throws IOException {
        Report report = read(RUNS);
        report.writeTo(directory, new ReportHead("measure x", "abc1234", "ten cores", "a trial"));
        String page = Files.readString(directory.resolve("MEASUREMENTS.md"));
        assertTrue(page.contains("`measure x`"));
        assertTrue(page.contains("abc1234"));
        assertTrue(page.contains("a trial"));
        assertTrue(page.contains("](measurements/qazaq-p99-by-load.svg)"));
        assertTrue(page.contains("| qazaq | idle | slots | 1 |"));
        assertTrue(page.contains("20.5 [10–30]"));
        String chart = Files.readString(directory.resolve("measurements/qazaq-p99-by-load.svg"));
        assertTrue(chart.endsWith("</svg>\n"));
        assertFalse(chart.contains("NaN"));
    }

    @Test
    void fileWithoutRunsIsRefused() {
        assertThrows(ResultException.class, () -> read("event=measure_failed\n"));
    }

    @Test
    void barsRiseWithTheirValues() {
        Chart chart =
                new Chart(
                        "t", "ms", List.of("a", "b"), List.of(new Series("s", List.of(5.0, 10.0))));
        String bars = chart.bars();
        assertTrue(bars.contains("height=\"150.0\" fill=\"#0b6e4f\""), bars);
        assertTrue(bars.contains("height=\"300.0\" fill=\"#0b6e4f\""), bars);
    }

    private Report read(String runs) throws IOException {
        Path file = directory.resolve("runs.txt");
        Files.writeString(file, runs);
        return Report.read(file);
    }
}
