package org.siskinramp.daemon.commandline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the command on the log lines of docs/OPERATIONS.md; expects the verdicts of that page. */
class RequestTraceCommandTest {

    private static final Path PAGE = Path.of("../docs/OPERATIONS.md");

    @TempDir private Path directory;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
    private final CommandLine commandLine =
            new CommandLine(
                    settings -> ExitStatus.SUCCESS,
                    new PrintStream(output, true, StandardCharsets.UTF_8),
                    new PrintStream(errors, true, StandardCharsets.UTF_8));

    private static List<String> examples(String start) throws IOException {
        return Files.readAllLines(PAGE).stream()
                .filter(line -> line.startsWith("    " + start))
                .map(String::strip)
                .toList();
    }

    private Path log() throws IOException {
        return Files.write(directory.resolve("edge-1.log"), examples("event="));
    }

    private List<String> trace(String... arguments) {
        assertEquals(ExitStatus.SUCCESS, commandLine.run(arguments), errors::toString);
        List<String> lines = output.toString(StandardCharsets.UTF_8).lines().toList();
        output.reset();
        return lines;
    }

    @Test
    void printsTheVerdictsOfTheOperationsPage() throws IOException {
        String log = log().toString();
        List<String> verdicts = examples("request ");
        assertEquals(2, verdicts.size());
        for (String verdict : verdicts) {
            String id = verdict.split(" ", -1)[1];
            assertEquals(verdict, trace("request", "trace", id, log).get(0));
        }
    }

    @Test
    void printsTheRequestsLinesOfAllFiles() throws IOException {
        Path other = Files.writeString(directory.resolve("edge-2.log"), "event=x request=b\n");
        List<String> lines =
                trace("request", "trace", "d53d3d78eca1b9e2", log().toString(), other.toString());
        assertEquals(4, lines.size());
        assertTrue(lines.get(2).contains("outcome=connection_broken"), lines.get(2));
    }

    @Test
    void reportsAnUnreadableFile() {
        assertEquals(
                ExitStatus.FAILURE,
                commandLine.run("request", "trace", "a1", directory.resolve("none").toString()));
        assertTrue(errors.toString(StandardCharsets.UTF_8).contains("code=503"));
    }
}
