import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: another writer puts entries into the servers table whose address cannot be read. */
final class ForeignEntries {

    private static final int ENTRIES = 24;
    private static final long PERIOD_MILLISECONDS = 70_000;
    private static final long HEARTBEAT_MILLISECONDS = 1_500;
    private static final long INTERVAL_MILLISECONDS = 200;

    private final Harness harness;
    private final AtomicInteger reads = new AtomicInteger();
    private final AtomicInteger readsServed = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger writes = new AtomicInteger();
    private final AtomicInteger writesServed = new AtomicInteger();

    private ForeignEntries(Harness harness) {
        this.harness = harness;
    }

    public static void main(String[] arguments) throws Exception {
        Harness harness = new Harness(Path.of(arguments[0]));
        try {
            new ForeignEntries(harness).run();
        } catch (Exception failure) {
            harness.end(2, "could not run: " + failure);
        }
    }

    private void run() throws Exception {
        harness.store.put("op", "config", Harness.configuration(7, "desk", "crew"));
        for (int i = 0; i < 10; i++) {
            harness.upstream("i-desk-" + i, "desk", "alm-a", 4).workMilliseconds = 60;
        }
        for (int i = 0; i < 6; i++) {
            harness.upstream("i-crew-" + i, "crew", "alm-a", 4).workMilliseconds = 60;
        }
        Harness.Gateway first = harness.gateway(1, "alm-a", true, List.of(harness.address(1) + ":8166"));
        Harness.Gateway second = harness.gateway(2, "alm-a", true, List.of(harness.address(1) + ":8166"));
        if (!first.awaitReady(20_000) || !second.awaitReady(20_000)) {
            harness.end(2, "a gateway is not ready");
        }
        Harness.sleep(4_000);
        long end = harness.now() + PERIOD_MILLISECONDS;
        long trouble = harness.now() + 2_000;
        for (Harness.Gateway gateway : harness.gateways) {
            Harness.start("reader", () -> send(gateway, "GET", "/lohu930/", end, reads, readsServed));
            Harness.start("writer", () -> send(gateway, "POST", "/pufi791/", end, writes, writesServed));
        }
        Harness.sleep(trouble - harness.now());
        for (int beat = 1; harness.now() < end - 35_000; beat++) {
            for (int i = 0; Harness.TROUBLE && i < ENTRIES; i++) {
                String entry = "{\"service\":\"desk\",\"address\":\"http://127.0.0.1:9\","
                        + "\"zone\":\"alm-a\",\"version\":\"v1\",\"concurrency\":4,"
                        + "\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":" + beat + "}";
                harness.store.put("servers", "foreign-" + i, entry);
                harness.log("foreign entry " + i + " " + entry);
            }
            Harness.sleep(HEARTBEAT_MILLISECONDS);
        }
        Harness.sleep(end - 35_000 - harness.now());
        for (int i = 0; Harness.TROUBLE && i < ENTRIES; i++) {
            harness.store.remove("servers", "foreign-" + i);
        }
        harness.log("foreign entries removed");
        Harness.sleep(end - 30_000 - harness.now());
        int readsBefore = reads.get();
        int servedBefore = readsServed.get();
        Harness.sleep(end - harness.now() + 5_000);
        harness.log("in the last 30 s: reads=" + (reads.get() - readsBefore) + " served="
                + (readsServed.get() - servedBefore));
        for (Harness.Gateway gateway : harness.gateways) {
            harness.log(gateway.name + " runs=" + gateway.isRunning() + " ready=" + gateway.isReady());
        }
        double all = (readsServed.get() + writesServed.get()) / (double) (reads.get() + writes.get());
        double read = readsServed.get() / (double) reads.get();
        String counts = String.format("reads=%d served=%d (%.2f) writes=%d served=%d; of all %.2f;"
                        + " never answered, 2 s past the deadline: %d",
                reads.get(), readsServed.get(), read, writes.get(), writesServed.get(), all,
                unanswered.get());
        harness.end(read < all / 4 ? 1 : 0, counts);
    }

    /** Sends at a fixed rate, each request on its own connection, as users do. */
    private void send(Harness.Gateway gateway, String method, String prefix, long end,
            AtomicInteger sent, AtomicInteger served) {
        for (int i = 0; harness.now() < end; i++) {
            String id = method + "-" + gateway.name + "-" + i;
            String target = prefix + i;
            Harness.start("client", () -> {
                byte[] body = new byte[method.equals("GET") ? 0 : 1_200];
                try (Harness.Client client = harness.new Client(gateway)) {
                    Harness.Result result =
                            client.send(id, method, "ficu95.example", target, 2_500, body);
                    sent.incrementAndGet();
                    served.addAndGet(result.status() == 200 ? 1 : 0);
                    harness.log(id + " status=" + result.status() + " runs=" + harness.runs(id)
                            + " took_ms=" + result.tookMilliseconds() + " " + result.failure());
                    unanswered.addAndGet(result.failure().contains("timed out") ? 1 : 0);
                }
            });
            Harness.sleep(INTERVAL_MILLISECONDS);
        }
    }
}
