import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Stream;

/**
 * Runs one case: a store and the gateways that the case starts, with a temporary folder and a
 * record. The process exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
 * not run.
 */
abstract class ReviewCase {

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    private static final long READY_MILLISECONDS = 25_000;

    private Path repository;
    private Path folder;
    private Record record;
    private Store store;
    private boolean trouble;
    private final ExecutorService threads =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task, "case");
                        thread.setDaemon(true);
                        return thread;
                    });

    /** Runs the case; returns true if the rule was broken. */
    abstract boolean run() throws Exception;

    final Record record() {
        return record;
    }

    final Store store() {
        return store;
    }

    /** Tells whether the disruption takes place. */
    final boolean hasTrouble() {
        return trouble;
    }

    final ExecutorService threads() {
        return threads;
    }

    /** Starts a gateway and waits until it is ready. */
    final GatewayProcess startGateway(String name) throws IOException, InterruptedException {
        GatewayProcess gateway = new GatewayProcess(repository, folder, name, store);
        if (!gateway.awaitReady(READY_MILLISECONDS)) {
            gateway.close();
            throw new IllegalStateException("gateway " + name + " is not ready");
        }
        record.line("gateway %s is ready", name);
        return gateway;
    }

    /** Returns a configuration with one host and one service, {@code desk}. */
    static String configuration(String... routes) {
        return "{\"version\":\"r7\",\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\","
                + "\"max_conns\":260,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,"
                + "\"warmup_per_s\":5.3}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"base_version\":\"r5\",\"hosts\":[{\"host\":"
                + "\"desk.example\",\"paths\":["
                + String.join(",", List.of(routes))
                + "]}]}";
    }

    static String route(String name, String prefix, String kind, int timeoutMilliseconds) {
        return "{\"name\":\""
                + name
                + "\",\"prefix\":\""
                + prefix
                + "\",\"kind\":\""
                + kind
                + "\",\"timeout_ms\":"
                + timeoutMilliseconds
                + ",\"goal_latency_ms\":600,\"priority\":1,\"service\":\"desk\","
                + "\"max_attempts\":2}";
    }

    /** Runs a case in the folder that the first argument names, and ends the process. */
    static void main(ReviewCase reviewCase, String[] arguments) {
        int result = NOT_RUN;
        try {
            result = reviewCase.runIn(Path.of(arguments[0]).toAbsolutePath());
        } catch (Exception failure) {
            System.out.println("the case could not run: " + failure);
        }
        System.exit(result);
    }

    private int runIn(Path caseFolder) throws Exception {
        repository = caseFolder.getParent().getParent();
        trouble = !"0".equals(System.getenv("TROUBLE"));
        folder = Files.createTempDirectory("review");
        try (Record opened = new Record(caseFolder.resolve("record.txt"));
                Store started = new Store()) {
            record = opened;
            store = started;
            record.line("disruption: %s", trouble ? "yes" : "no");
            boolean broken = run();
            record.result("%s", broken ? "BROKEN" : "held");
            return broken ? BROKEN : HELD;
        } finally {
            deleteFolder();
        }
    }

    private void deleteFolder() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
