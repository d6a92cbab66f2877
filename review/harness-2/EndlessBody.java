import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * One of seven backend servers starts an answer and sends, where the size of a chunk is due, bytes
 * without end until the gateway closes the connection. The gateway has 0.6 of a core, and all that
 * the server sends comes over a link of 1,000 Mbit/s.
 */
final class EndlessBody extends ReviewCase {

    private static final int SERVERS = 7;
    private static final int CALLERS = 12;
    private static final int TIMEOUT_MILLISECONDS = 1200;
    private static final int PAUSE_MILLISECONDS = 300;
    private static final double CORE_SHARE = 0.6;
    private static final int LINK_BYTES_PER_MICROSECOND = 125;
    private static final int WORK_MILLISECONDS = 20;
    private static final int CALM_MILLISECONDS = 5_000;
    private static final int SETTLING_MILLISECONDS = 10_000;
    private static final int MEASURED_MILLISECONDS = 15_000;
    private static final int IDLE_MILLISECONDS = 5_000;

    private final AtomicInteger streams = new AtomicInteger();
    private final AtomicInteger endlessAnswers = new AtomicInteger();
    private long linkFreeAt;
    private volatile boolean disrupted;
    private volatile boolean stopped;

    public static void main(String[] arguments) {
        main(new EndlessBody(), arguments);
    }

    @Override
    boolean run() throws Exception {
        store().put(
                        "op",
                        "config",
                        configuration(route("read", "/read/", "safe", TIMEOUT_MILLISECONDS)));
        List<Upstream> servers = new ArrayList<>();
        for (int number = 1; number < SERVERS; number++) {
            servers.add(new Upstream("i-" + number, "desk", store(), EndlessBody::answer));
        }
        servers.add(new Upstream("i-" + SERVERS, "desk", store(), this::answerInTrouble));
        try (GatewayProcess gateway = startGateway("edge-1");
                ProcessorQuota quota = gateway.limitTo(CORE_SHARE)) {
            return play(gateway);
        } finally {
            for (Upstream server : servers) {
                server.close();
            }
        }
    }

    private static boolean answer(Upstream.Call call) throws IOException {
        try {
            Thread.sleep(WORK_MILLISECONDS);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
        return call.answer(new byte[400]);
    }

    private boolean answerInTrouble(Upstream.Call call) throws IOException {
        if (!disrupted) {
            return answer(call);
        }
        record().line("run %s at %s: an endless answer", call.id(), call.upstream().id());
        endlessAnswers.incrementAndGet();
        streams.incrementAndGet();
        try {
            call.write(call.answerHead("200 OK") + "Transfer-Encoding: chunked\r\n\r\n");
            byte[] zeros = "0".repeat(16 * 1024).getBytes();
            while (!stopped) {
                waitForLink(zeros.length);
                call.output().write(zeros);
            }
        } finally {
            streams.decrementAndGet();
        }
        return false;
    }

    /** Waits until the link, which all answers share, has room for more bytes. */
    private void waitForLink(int bytes) {
        long due;
        synchronized (this) {
            linkFreeAt =
                    Math.max(linkFreeAt, System.nanoTime())
                            + 1_000L * bytes / LINK_BYTES_PER_MICROSECOND;
            due = linkFreeAt;
        }
        LockSupport.parkNanos(due - System.nanoTime());
    }

    private boolean play(GatewayProcess gateway) throws Exception {
        Tally calm = ask(gateway, CALM_MILLISECONDS, "calm");
        disrupted = hasTrouble();
        record().line("i-%d is in trouble: %s", SERVERS, disrupted);
        Tally settling = ask(gateway, SETTLING_MILLISECONDS, "settling");
        Tally measured = ask(gateway, MEASURED_MILLISECONDS, "measured");
        Thread.sleep(2_000);
        int openStreams = streams.get();
        long before = gateway.processorTime().toMillis();
        Thread.sleep(IDLE_MILLISECONDS);
        long idleProcessorMilliseconds = gateway.processorTime().toMillis() - before;
        record().result("calm: %s", calm);
        record().result("first 10 s of the trouble: %s", settling);
        record().result("the 15 s after that: %s", measured);
        record().result(
                        "endless answers begun: %d; still read 2 s after the last caller left: %d",
                        endlessAnswers.get(), openStreams);
        record().result(
                        "processor time of the gateway in %d ms without callers: %d ms",
                        IDLE_MILLISECONDS, idleProcessorMilliseconds);
        record().result("ready page answers 200: %s", gateway.isReady());
        stopped = true;
        if (calm.served.get() * 10 < calm.asked.get() * 9) {
            throw new IllegalStateException("less than nine tenths are served before the trouble");
        }
        // All but a tenth of what the process may use while it has nothing to do.
        return idleProcessorMilliseconds > 0.9 * CORE_SHARE * IDLE_MILLISECONDS;
    }

    private Tally ask(GatewayProcess gateway, int milliseconds, String span) throws Exception {
        Tally tally = new Tally();
        long end = System.nanoTime() + milliseconds * 1_000_000L;
        CountDownLatch ended = new CountDownLatch(CALLERS);
        for (int caller = 0; caller < CALLERS; caller++) {
            String prefix = span + "-" + caller + "-";
            threads()
                    .execute(
                            () -> {
                                askUntil(gateway, end, prefix, tally);
                                ended.countDown();
                            });
        }
        if (!ended.await(milliseconds + 10_000L, TimeUnit.MILLISECONDS)) {
            throw new IllegalStateException("callers do not end");
        }
        return tally;
    }

    private void askUntil(GatewayProcess gateway, long end, String prefix, Tally tally) {
        for (int number = 0; System.nanoTime() < end; number++) {
            String id = prefix + number;
            long sentAt = System.nanoTime();
            String outcome = askOnce(gateway, id);
            long milliseconds = (System.nanoTime() - sentAt) / 1_000_000;
            tally.lateAtTimeout.addAndGet(milliseconds > TIMEOUT_MILLISECONDS ? 1 : 0);
            tally.lateAfterwards.addAndGet(milliseconds > TIMEOUT_MILLISECONDS + 500 ? 1 : 0);
            tally.asked.incrementAndGet();
            if (outcome.startsWith("200")) {
                tally.served.incrementAndGet();
            }
            record().line("sent %s, answered %s after %d ms", id, outcome, milliseconds);
            pause();
        }
    }

    private static String askOnce(GatewayProcess gateway, String id) {
        try (Caller caller = new Caller(gateway.callerPort(), 3 * TIMEOUT_MILLISECONDS)) {
            caller.send(Caller.head("GET", "/read/1", id, TIMEOUT_MILLISECONDS) + "\r\n");
            return caller.read().map(answer -> answer.startLine().substring(9)).orElse("closed");
        } catch (IOException failure) {
            return failure.toString();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MILLISECONDS);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private static final class Tally {

        private final AtomicInteger asked = new AtomicInteger();
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicInteger lateAtTimeout = new AtomicInteger();
        private final AtomicInteger lateAfterwards = new AtomicInteger();

        @Override
        public String toString() {
            return served
                    + " of "
                    + asked
                    + " requests served; unanswered at the timeout "
                    + lateAtTimeout
                    + ", half a second later "
                    + lateAfterwards;
        }
    }
}
