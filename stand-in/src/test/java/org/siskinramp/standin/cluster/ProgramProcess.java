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

/** Runs a Java program as a separate process that writes its output to a file. */
final class ProgramProcess implements AutoCloseable {

    private static final long EVENT_TIMEOUT_SECONDS = 30;
    private static final long EXIT_TIMEOUT_SECONDS = 40;

    private static final int DEFAULT_HEAP_MEGABYTES = 96;

    private final Path outputFile;
    private final Process process;
    private final long outputStart;

    private ProgramProcess(Path outputFile, long outputStart, Process process) {
        this.outputFile = outputFile;
        this.process = process;
        this.outputStart = outputStart;
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    static ProgramProcess start(Path outputFile, Class<?> program, List<String> arguments) {
        return start(outputFile, program, DEFAULT_HEAP_MEGABYTES, arguments);
    }

    static ProgramProcess start(
            Path outputFile, Class<?> program, int heapMegabytes, List<String> arguments) {
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
            Files.createDirectories(outputFile.getParent());
            long outputStart = Files.exists(outputFile) ? Files.size(outputFile) : 0;
            Process process =
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(outputFile.toFile()))
                            .start();
            return new ProgramProcess(outputFile, outputStart, process);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Waits until an event is logged, and returns the value of a key in its last line. */
    String await(String event, String key) {
        Pattern pattern =
                Pattern.compile("(?m)^(?:.* )?event=" + event + "(?: .*)? ?" + key + "=(\\S+).*$");
        Waiting.until(
                EVENT_TIMEOUT_SECONDS,
                () -> event + " in " + outputFile,
                () -> lastMatch(pattern).isPresent() || !process.isAlive());
        return lastMatch(pattern)
                .orElseThrow(
                        () ->
                                new AssertionError(
                                        "the process ended before the event: " + output()));
    }

    private Optional<String> lastMatch(Pattern pattern) {
        Matcher matcher = pattern.matcher(output());
        Optional<String> last = Optional.empty();
        while (matcher.find()) {
            last = Optional.of(matcher.group(1));
        }
        return last;
    }

    /**
     * Returns what this process has written, without the output of earlier ones in the same file.
     */
    String output() {
        try {
            byte[] bytes = Files.readAllBytes(outputFile);
            int start = (int) outputStart;
            return new String(bytes, start, bytes.length - start, StandardCharsets.UTF_8);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    void kill() {
        process.destroyForcibly();
        awaitExit();
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

    /** Returns the peak resident memory of the process ({@code VmHWM} of Linux). */
    long peakResidentKilobytes() throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst()
                .orElseThrow();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the exit status of the process, which must have ended. */
    int exitStatus() {
        return process.exitValue();
    }

    /** Sends {@code SIGTERM}, waits for the process to end and returns its exit status. */
    int terminate() {
        process.destroy();
        return awaitExit();
    }

    private int awaitExit() {
        try {
            if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new AssertionError("still runs: " + outputFile);
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
                throw new AssertionError("cannot send a signal to the process of " + outputFile);
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
            awaitExit();
        }
    }
}
