import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Gives a process a share of one core as a quota: it runs at full speed until it has used its part
 * of a tenth of a second, and is stopped for the rest of it. A process that used more, since its
 * threads ran side by side, is stopped for longer.
 */
final class ProcessorQuota implements AutoCloseable {

    private static final int PERIOD_MILLISECONDS = 100;
    private static final int POLL_MILLISECONDS = 2;
    private static final int MILLISECONDS_PER_TICK = 10;
    private static final int USER_TIME_FIELD = 11;

    private final long pid;
    private final double share;
    private final Process shell;
    private final OutputStream commands;
    private volatile boolean closed;

    ProcessorQuota(long pid, double share) throws IOException {
        this.pid = pid;
        this.share = share;
        shell = new ProcessBuilder("bash").start();
        Runtime.getRuntime().addShutdownHook(new Thread(shell::destroyForcibly));
        commands = shell.getOutputStream();
        Thread thread = new Thread(this::run, "quota");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        long start = System.nanoTime();
        boolean stopped = false;
        try {
            long usedBefore = usedMilliseconds();
            while (!closed) {
                long elapsed = (System.nanoTime() - start) / 1_000_000;
                long periods = elapsed / PERIOD_MILLISECONDS + 1;
                double allowed = share * PERIOD_MILLISECONDS * periods;
                boolean stops = usedMilliseconds() - usedBefore >= allowed;
                if (stops != stopped) {
                    signal(stops ? "STOP" : "CONT");
                    stopped = stops;
                }
                // What was not used lapses.
                if (allowed - (usedMilliseconds() - usedBefore) > share * PERIOD_MILLISECONDS) {
                    start = System.nanoTime();
                    usedBefore = usedMilliseconds();
                }
                Thread.sleep(POLL_MILLISECONDS);
            }
            signal("CONT");
        } catch (IOException | InterruptedException ended) {
            closed = true;
        }
    }

    private long usedMilliseconds() throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks =
                Long.parseLong(fields[USER_TIME_FIELD])
                        + Long.parseLong(fields[USER_TIME_FIELD + 1]);
        return ticks * MILLISECONDS_PER_TICK;
    }

    private void signal(String name) throws IOException {
        commands.write(("kill -" + name + " " + pid + "\n").getBytes(StandardCharsets.US_ASCII));
        commands.flush();
    }

    @Override
    public void close() {
        closed = true;
        shell.destroyForcibly();
    }
}
