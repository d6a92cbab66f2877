package org.siskinramp.standin.cluster;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Runs one program in a process of its own, with its output in a file. */
final class ProgramProcess implements AutoCloseable {

    private static final long START_SECONDS = 30;
    private static final long STOP_SECONDS = 40;

    private static final int HEAP_MEGABYTES = 96;

    private final Path output;
    private final Process process;
    private final long earlierBytes;

    private ProgramProcess(Path output, long earlierBytes, Process process) {
        this.output = output;
        this.process = process;
        this.earlierBytes = earlierBytes;
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    static ProgramProcess start(Path output, Class<?> program, List<String> arguments) {
        return start(output, program, HEAP_MEGABYTES, arguments);
    }

    static ProgramProcess start(
            Path output, Class<?> program, int heapMegabytes, List<String> arguments) {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-Xmx" + heapMegabytes + "m",
                                "-cp",
                                System.getProperty("java.class.path"),
                                program.getName()));
        command.addAll(arguments);
        try {
            Files.createDirectories(output.getParent());
            long earlierBytes = Files.exists(output) ? Files.size(output) : 0;
            Process process =
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                            .start();
            return new ProgramProcess(output, earlierBytes, process);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Waits for the last line of an event and returns one of its values. */
    String await(String event, String key) {
        Pattern pattern =
                Pattern.compile("(?m)^(?:.* )?event=" + event + "(?: .*)? ?" + key + "=(\\S+).*$");
        Waiting.until(
                START_SECONDS,
                () -> event + " in " + output,
                () -> lastMatch(pattern).isPresent() || !process.isAlive());
        return lastMatch(pattern)
                .orElseThrow(() -> new AssertionError("the process ended: " + text()));
    }

    private Optional<String> lastMatch(Pattern pattern) {
        Matcher matcher = pattern.matcher(text());
        Optional<String> last = Optional.empty();
        while (matcher.find()) {
            last = Optional.of(matcher.group(1));
        }
        return last;
    }

    /** Returns what this start of the program has written. */
    String text() {
        try {
            byte[] all = Files.readAllBytes(output);
            int start = (int) earlierBytes;
            return new String(all, start, all.length - start, StandardCharsets.UTF_8);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    void kill() {
        process.destroyForcibly();
        awaitEnd();
    }

    void pause() {
        signal("-STOP");
    }

    void resume() {
        signal("-CONT");
    }

    void hangUp() {
        signal("-HUP");
    }

    /** Returns the most memory that it has held, by the operating system's count. */
    long peakKilobytes() throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst()
                .orElseThrow();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the exit status of the process, which has ended. */
    int exitStatus() {
        return process.exitValue();
    }

    /** Asks the process to stop and returns its exit status. */
    int terminate() {
        process.destroy();
        return awaitEnd();
    }

    private int awaitEnd() {
        try {
            if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
                throw new AssertionError("still runs: " + output);
            }
            return process.exitValue();
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
            throw new AssertionError(interruption);
        }
    }

    private void signal(String name) {
        try {
            int status =
                    new ProcessBuilder("kill", name, Long.toString(process.pid()))
                            .start()
                            .waitFor();
            if (status != 0) {
                throw new AssertionError("no signal for " + output);
            }
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
            throw new AssertionError(interruption);
        }
    }

    @Override
    public void close() {
        if (process.isAlive()) {
            process.destroyForcibly();
            awaitEnd();
        }
    }
}
