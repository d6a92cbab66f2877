import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: some upstreams send additional bytes after a complete answer: a bare shed answer without an
 * id, which belongs to no request and arrives where the next answer is expected.
 */
final class StrayAnswers {

    private static final int FAULTY_UPSTREAMS = 5;
    private static final double STRAY_SHARE = 0.03;
    private static final long PERIOD_MILLISECONDS = 40_000;
    private static final long INTERVAL_MILLISECONDS = 25;
    private static final String STRAY_ANSWER =
            "HTTP/1.1 503 Service Unavailable\r\nX-Siskinramp-Not-Executed: 1\r\n"
                    + "Content-Length: 0\r\n\r\n";

    private final Harness harness;
    private final Random random = new Random(33);
    private final Set<Socket> strayDue = ConcurrentHashMap.newKeySet();
    private final AtomicInteger strays = new AtomicInteger();
    private final Map<String, Integer> statuses = new ConcurrentHashMap<>();

    private StrayAnswers(Harness harness) {
        this.harness = harness;
    }

    public static void main(String[] arguments) throws Exception {
        Harness harness = new Harness(Path.of(arguments[0]));
        try {
            new StrayAnswers(harness).run();
        } catch (Exception failure) {
            harness.end(2, "could not run: " + failure);
        }
    }

    private void run() throws Exception {
        harness.store.put("op", "config", Harness.configuration(7, "desk", "crew"));
        for (int i = 0; i < 4; i++) {
            harness.upstream("i-desk-" + i, "desk", "alm-a", 4).workMilliseconds = 60;
        }
        for (int i = 0; i < 8; i++) {
            Harness.Upstream upstream = harness.upstream("i-crew-" + i, "crew", "alm-a", 4);
            upstream.workMilliseconds = 60;
            if (Harness.TROUBLE && i < FAULTY_UPSTREAMS) {
                upstream.behaviour = this::answerWithStray;
            }
        }
        List<String> seeds = List.of(harness.address(1) + ":8166");
        harness.gateway(1, "alm-a", true, seeds);
        harness.gateway(2, "alm-a", true, seeds);
        for (Harness.Gateway gateway : harness.gateways) {
            if (!gateway.awaitReady(20_000)) {
                harness.end(2, gateway.name + " is not ready");
            }
        }
        Harness.sleep(4_000);
        long end = harness.now() + PERIOD_MILLISECONDS;
        for (int i = 0; harness.now() < end; i++) {
            Harness.Gateway gateway = harness.gateways.get(i % 2);
            String id = "write-" + i;
            Harness.start("client", () -> send(gateway, id));
            Harness.sleep(INTERVAL_MILLISECONDS);
        }
        Harness.sleep(4_000);
        int twice = 0;
        int refusedAndRun = 0;
        for (Map.Entry<String, Integer> sent : statuses.entrySet()) {
            int runs = harness.runs(sent.getKey());
            twice += runs > 1 ? 1 : 0;
            boolean refused = Set.of(408, 421, 429, 503).contains(sent.getValue());
            refusedAndRun += refused && runs > 0 ? 1 : 0;
            if (runs > 1 || refused && runs > 0) {
                harness.log("broken: " + sent.getKey() + " status=" + sent.getValue() + " runs="
                        + runs);
            }
        }
        harness.end(twice + refusedAndRun > 0 ? 1 : 0, "unsafe requests=" + statuses.size()
                + " stray answers=" + strays + " run twice=" + twice
                + " refused and run=" + refusedAndRun);
    }

    private void send(Harness.Gateway gateway, String id) {
        try (Harness.Client client = harness.new Client(gateway)) {
            Harness.Result result = client.send(id, "POST", "ficu95.example", "/pufi791/" + id,
                    3_000, new byte[1_200]);
            statuses.put(id, result.status());
            harness.log(id + " status=" + result.status() + " runs=" + harness.runs(id)
                    + " took_ms=" + result.tookMilliseconds() + " " + result.failure());
        }
    }

    /** Answers soundly; bytes that are due from an earlier answer come first. */
    private boolean answerWithStray(Harness.Upstream upstream, Harness.Message request,
            Socket socket, InputStream in) throws IOException {
        if (strayDue.remove(socket)) {
            strays.incrementAndGet();
            harness.log(upstream.id + " sends a stray answer before that to "
                    + request.header("X-Siskinramp-Request-Id"));
            Harness.write(socket, STRAY_ANSWER, new byte[0]);
        }
        boolean open = upstream.answerSoundly(request, socket, in);
        if (random.nextDouble() < STRAY_SHARE) {
            strayDue.add(socket);
        }
        return open;
    }
}
