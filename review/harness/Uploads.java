import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: three clients of each gateway upload a body of 5 MB at the same moment. */
final class Uploads {

    private static final int GATEWAYS = 6;
    private static final int BODY_BYTES = 5_000_000;
    private static final long ROUND_MILLISECONDS = 1_000;
    private static final long TIMEOUT_MILLISECONDS = 1_500;
    private static final long LATE_MILLISECONDS = 500;
    /** The client waits far longer than the rule allows, to tell a late answer from none. */
    private static final long DEADLINE_MILLISECONDS = 3_000;
    private static final long EXTRA_WAIT_MILLISECONDS = 12_000;

    private final Harness harness;
    private final AtomicInteger uploads = new AtomicInteger();
    private final AtomicInteger uploadsServed = new AtomicInteger();
    private final AtomicInteger reads = new AtomicInteger();
    private final AtomicInteger readsServed = new AtomicInteger();
    private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
    private final AtomicInteger unansweredLater = new AtomicInteger();
    private final AtomicInteger neverAnswered = new AtomicInteger();
    private volatile boolean stopped;

    private Uploads(Harness harness) {
        this.harness = harness;
    }

    public static void main(String[] arguments) throws Exception {
        Harness harness = new Harness(Path.of(arguments[0]));
        try {
            new Uploads(harness).run();
        } catch (Exception failure) {
            harness.end(2, "could not run: " + failure);
        }
    }

    private void run() throws Exception {
        harness.store.put("op", "config", Harness.configuration(7, "desk", "crew"));
        for (int i = 0; i < 6; i++) {
            harness.upstream("i-desk-" + i, "desk", "alm-a", 4).workMilliseconds = 100;
        }
        for (int i = 0; i < 12; i++) {
            harness.upstream("i-crew-" + i, "crew", "alm-a", 4).workMilliseconds = 290;
        }
        String seed = harness.address(1) + ":8166";
        for (int i = 1; i <= GATEWAYS; i++) {
            harness.gateway(i, "alm-a", true, List.of(seed));
        }
        for (Harness.Gateway gateway : harness.gateways) {
            if (!gateway.awaitReady(25_000)) {
                harness.end(2, gateway.name + " is not ready");
            }
        }
        Harness.sleep(4_000);
        for (Harness.Gateway gateway : harness.gateways) {
            Harness.start("reader", () -> read(gateway));
        }
        for (int round = 0; round < 4; round++) {
            round("calm" + round, false);
        }
        for (int round = 0; round < 3; round++) {
            round("burst" + round, Harness.TROUBLE);
        }
        for (int round = 0; round < 10; round++) {
            round("after" + round, false);
        }
        stopped = true;
        for (Harness.Gateway gateway : harness.gateways) {
            gateway.logTail("OutOfMemoryError", 2);
            harness.log(gateway.name + " runs=" + gateway.isRunning() + " ready="
                    + gateway.isReady());
        }
        String counts = "uploads=" + uploads + " served=" + uploadsServed + " reads=" + reads
                + " served=" + readsServed + " unanswered_at_timeout_ms=" + unansweredAtTimeout
                + " of_these_unanswered_500_ms_later=" + unansweredLater
                + " of_these_never_answered_within_15_s=" + neverAnswered;
        harness.log(counts);
        boolean broken = unansweredLater.get() >= 2
                && unansweredLater.get() * 2 > unansweredAtTimeout.get();
        boolean calmServed = Harness.TROUBLE || uploadsServed.get() == uploads.get();
        if (!calmServed) {
            harness.end(2, "uploads failed without the disruption: " + counts);
        }
        harness.end(broken ? 1 : 0, counts);
    }

    /** Every gateway gets two uploads one after the other, or three at the same moment. */
    private void round(String name, boolean burst) throws InterruptedException {
        int clients = burst ? 3 : 2;
        long started = harness.now();
        CountDownLatch done = new CountDownLatch(GATEWAYS * clients);
        for (Harness.Gateway gateway : harness.gateways) {
            for (int c = 0; c < clients; c++) {
                String id = name + "-" + gateway.name + "-" + c;
                long delay = burst ? 0 : c * ROUND_MILLISECONDS / 2;
                Harness.start("upload", () -> {
                    Harness.sleep(delay);
                    upload(gateway, id);
                    done.countDown();
                });
            }
        }
        done.await();
        Harness.sleep(started + ROUND_MILLISECONDS - harness.now());
    }

    private void upload(Harness.Gateway gateway, String id) {
        try (Harness.Client client = harness.new Client(gateway)) {
            Harness.Result result = client.send(id, "POST", "ficu95.example", "/pufi791/" + id,
                    DEADLINE_MILLISECONDS, new byte[BODY_BYTES], EXTRA_WAIT_MILLISECONDS);
            harness.log("upload " + id + " bytes=" + BODY_BYTES + " status=" + result.status()
                    + " runs=" + harness.runs(id) + " took_ms=" + result.tookMilliseconds() + " "
                    + result.failure());
            uploads.incrementAndGet();
            uploadsServed.addAndGet(result.status() == 200 ? 1 : 0);
            count(result);
        }
    }

    private void read(Harness.Gateway gateway) {
        try (Harness.Client client = harness.new Client(gateway)) {
            for (int i = 0; !stopped; i++) {
                String id = "read-" + gateway.name + "-" + i;
                Harness.Result result = client.send(id, "GET", "ficu95.example", "/lohu930/" + id,
                        DEADLINE_MILLISECONDS, new byte[0], EXTRA_WAIT_MILLISECONDS);
                reads.incrementAndGet();
                readsServed.addAndGet(result.status() == 200 ? 1 : 0);
                count(result);
                if (result.status() != 200) {
                    harness.log("read " + id + " status=" + result.status() + " runs="
                            + harness.runs(id) + " took_ms=" + result.tookMilliseconds() + " "
                            + result.failure());
                }
                Harness.sleep(100);
            }
        }
    }

    private void count(Harness.Result result) {
        if (result.tookMilliseconds() > TIMEOUT_MILLISECONDS) {
            unansweredAtTimeout.incrementAndGet();
        }
        if (result.tookMilliseconds() > TIMEOUT_MILLISECONDS + LATE_MILLISECONDS) {
            unansweredLater.incrementAndGet();
        }
        if (result.failure().contains("timed out")) {
            neverAnswered.incrementAndGet();
        }
    }
}
