package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Collects what was sent, answered and run, with the milliseconds since the start. */
final class Record {

    private final long startNanoseconds = System.nanoTime();
    private final StringBuilder lines = new StringBuilder();

    long milliseconds() {
        return (System.nanoTime() - startNanoseconds) / 1_000_000;
    }

    synchronized void add(String text) {
        lines.append(String.format("%7d ms  %s%n", milliseconds(), text));
    }

    synchronized void writeTo(Path file) throws IOException {
        Files.writeString(file, lines.toString());
    }
}
