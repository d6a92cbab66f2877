package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway as a process of its own, started with the command and the template of the project. */
final class Gateway implements AutoCloseable {

    private static final Path DEPLOY_FILE = Path.of("deploy", "system.toml");
    private static final Path TEMPLATE =
            Path.of("platform", "settings", "gateway.toml.template");
    private static final Pattern COMMAND = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final String BOUNDS =
            """
            seed_lag_s = 3
            addr_reuse_s = 2
            contact_ms = 3000
            ack_ms = 4000
            sync_s = 4
            drain_ms = 2000
            grace_s = 6
            loss_slack_ms = 200
            apply_ms = 2000
            revert_slack_ms = 250
            max_skew_ms = 5000
            retry_ratio = 0.2
            retry_window_s = 10
            retry_slack = 62
            cold_overage = 1.5
            warmup_slack = 5
            evac_ms = 5000
            recover_s = 15
            probes_per_s = 60
            """;

    private final String address;
    private final int frontPort;
    private final int readyPort;
    private final int controlPort;
    private final Path settings;
    private final Path log;
    private Process process;

    Gateway(String name, String zone, String address, String store, Path folder)
            throws IOException {
        this.address = address;
        frontPort = freePort();
        readyPort = freePort();
        controlPort = freePort();
        settings = folder.resolve(name + ".toml");
        log = folder.resolve(name + ".log");
        Files.writeString(settings, fillTemplate(name, zone, store));
    }

    private int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
            return socket.getLocalPort();
        }
    }

    /** Fills the placeholders as the platform does for a process without seeds. */
    private String fillTemplate(String name, String zone, String store) throws IOException {
        return Files.readString(TEMPLATE)
                .replaceAll("(?s)\\{\\{#seeds}}.*?\\{\\{/seeds}}", "")
                .replaceAll("(?s)\\{\\{#bootstrap}}(.*?)\\{\\{/bootstrap}}", "$1")
                .replaceAll("(?s)\\{\\{#bounds}}.*?\\{\\{/bounds}}", BOUNDS)
                .replace("{{node_name}}", name)
                .replace("{{zone}}", zone)
                .replace("{{listen_addrs.front}}", address + ":" + frontPort)
                .replace("{{listen_addrs.ready}}", address + ":" + readyPort)
                .replace("{{listen_addrs.control}}", address + ":" + controlPort)
                .replace("{{ip}}", address)
                .replace("{{platform.address}}", store);
    }

    void start() throws IOException {
        Matcher command = COMMAND.matcher(Files.readString(DEPLOY_FILE));
        if (!command.find()) {
            throw new IOException("the deploy file names no command");
        }
        ProcessBuilder builder = new ProcessBuilder(List.of(command.group(1).split(" ")));
        builder.environment().put("SISKINRAMP_BOOT", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(log.toFile());
        process = builder.start();
    }

    boolean isRunning() {
        return process.isAlive();
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(address, readyPort), 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write(
                            Http.bytesOf(
                                    "GET /siskinramp/ready HTTP/1.1\r\nHost: platform\r\n"
                                            + "Connection: close\r\n\r\n"));
            String head = Http.readHead(socket.getInputStream());
            return head != null && head.startsWith("HTTP/1.1 200");
        } catch (IOException notReady) {
            return false;
        }
    }

    Caller connect(Record record) throws IOException {
        return new Caller(new InetSocketAddress(address, frontPort), record);
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
            process.onExit().join();
        }
    }
}
