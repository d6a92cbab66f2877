import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to a file, with the time since the start of the case. */
final class Record implements AutoCloseable {

    private final long startNanoseconds = System.nanoTime();
    private final PrintWriter writer;

    Record(Path file) {
        try {
            writer = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    synchronized void line(String format, Object... values) {
        double seconds = (System.nanoTime() - startNanoseconds) / 1e9;
        writer.println(
                String.format(Locale.ROOT, "%8.3f ", seconds)
                        + String.format(Locale.ROOT, format, values));
    }

    /** Writes a line to the record and to standard output. */
    void result(String format, Object... values) {
        line(format, values);
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
