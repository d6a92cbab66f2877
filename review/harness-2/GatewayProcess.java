import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A gateway as a process of its own, started with the command of the deploy file. */
final class GatewayProcess implements AutoCloseable {

    private final int callerPort = freePort();
    private final int readinessPort = freePort();
    private final Path log;
    private final Process process;

    GatewayProcess(Path repository, Path folder, String name, Store store)
            throws IOException {
        int peerPort = freePort();
        Path settings = folder.resolve(name + ".toml");
        log = folder.resolve(name + ".log");
        Files.writeString(
                settings,
                String.join(
                        "\n",
                        "[host]",
                        "name = \"" + name + "\"",
                        "availability_zone = \"zone-a\"",
                        "[callers]",
                        "address = \"127.0.0.1:" + callerPort + "\"",
                        "[pages]",
                        "readiness_address = \"127.0.0.1:" + readinessPort + "\"",
                        "metrics_address = \"127.0.0.1:" + freePort() + "\"",
                        "[store]",
                        "address = \"http://" + store.address() + "\"",
                        "[peers]",
                        "address = \"127.0.0.1:" + peerPort + "\"",
                        "seeds = [\"127.0.0.1:" + peerPort + "\"]",
                        "first_start = true",
                        "[log]",
                        "level = \"info\"",
                        "[operator_figures]",
                        "drain_ms = 2000",
                        "grace_s = 6",
                        "loss_slack_ms = 200",
                        "apply_ms = 2000",
                        "retry_ratio = 0.2",
                        "retry_window_s = 10",
                        "retry_slack = 62",
                        "evac_ms = 5000",
                        ""));
        ProcessBuilder builder = new ProcessBuilder(command(repository));
        builder.directory(repository.toFile());
        builder.environment().put("SISKINRAMP_BOOT", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(log.toFile());
        process = builder.start();
        // Also ends the process if the case itself is ended.
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** Returns the words of {@code run} in the deploy file. */
    private static List<String> command(Path repository) throws IOException {
        for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                String words = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return new ArrayList<>(List.of(words.split(" ")));
            }
        }
        throw new IOException("deploy/system.toml has no run line");
    }

    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    int callerPort() {
        return callerPort;
    }

    /** Waits until the readiness page answers 200. */
    boolean awaitReady(long milliseconds) throws InterruptedException {
        long end = System.nanoTime() + milliseconds * 1_000_000;
        while (System.nanoTime() < end) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    boolean isReady() {
        try (Socket socket = new Socket("127.0.0.1", readinessPort)) {
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write(
                            "GET /siskinramp/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"
                                    .getBytes());
            return Message.read(socket.getInputStream(), true).orElseThrow().status() == 200;
        } catch (IOException | RuntimeException notReady) {
            return false;
        }
    }

    /** Sends a signal with the kill command. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Limits the process to a share of one core. */
    ProcessorQuota limitTo(double share) throws IOException {
        return new ProcessorQuota(process.pid(), share);
    }

    /** Returns the processor time that the process has used. */
    Duration processorTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
