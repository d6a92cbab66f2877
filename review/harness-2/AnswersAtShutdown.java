import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A gateway gets SIGTERM while callers behind slow links send safe requests ahead of the answers
 * on connections that they keep.
 */
final class AnswersAtShutdown extends ReviewCase {

    private static final int CALLERS = 12;
    private static final int TIMEOUT_MILLISECONDS = 2500;
    private static final int WORK_MILLISECONDS = 76;
    private static final int ANSWER_BYTES = 30_000;
    private static final int WINDOW_BYTES = 4096;

    /** One way; a caller learns only after this time what has reached its link. */
    private static final int LINK_DELAY_MILLISECONDS = 8;

    /** A link of 7 Mbit/s carries so many bytes in a millisecond. */
    private static final int LINK_BYTES_PER_MILLISECOND = 875;

    private static final int INTERVAL_MILLISECONDS = 10;
    private static final int CALM_MILLISECONDS = 3_500;
    private static final int LAST_REQUEST_MILLISECONDS = 2_000;

    private final Map<String, String> runs = new ConcurrentHashMap<>();
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger notPassedOn = new AtomicInteger();

    public static void main(String[] arguments) {
        main(new AnswersAtShutdown(), arguments);
    }

    @Override
    boolean run() throws Exception {
        store().put(
                        "op",
                        "config",
                        configuration(route("read", "/read/", "safe", TIMEOUT_MILLISECONDS)));
        List<Upstream> servers = new ArrayList<>();
        for (int number = 1; number <= 4; number++) {
            servers.add(new Upstream("i-" + number, "desk", store(), this::answer));
        }
        try (GatewayProcess gateway = startGateway("edge-1")) {
            return play(gateway);
        } finally {
            for (Upstream server : servers) {
                server.close();
            }
        }
    }

    private boolean answer(Upstream.Call call) throws IOException {
        runs.put(call.id(), call.upstream().id());
        record().line("run %s at %s", call.id(), call.upstream().id());
        try {
            Thread.sleep(WORK_MILLISECONDS);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
        return call.answer(new byte[ANSWER_BYTES]);
    }

    private boolean play(GatewayProcess gateway) throws Exception {
        CountDownLatch ended = new CountDownLatch(CALLERS);
        long end = System.nanoTime() + (CALM_MILLISECONDS + LAST_REQUEST_MILLISECONDS) * 1_000_000L;
        for (int number = 0; number < CALLERS; number++) {
            String prefix = "c" + number + "-";
            threads()
                    .execute(
                            () -> {
                                new PipeliningCaller(gateway, prefix, end).run();
                                ended.countDown();
                            });
        }
        Thread.sleep(CALM_MILLISECONDS);
        if (hasTrouble()) {
            record().line("SIGTERM");
            gateway.signal("TERM");
        }
        if (!ended.await(15, TimeUnit.SECONDS)) {
            throw new IllegalStateException("callers do not end");
        }
        record().result(
                        "asked %d, answered whole %d, not passed on %d,"
                                + " passed on and ended without a complete answer %d",
                        asked.get(), answered.get(), notPassedOn.get(), lost.get());
        if (answered.get() == 0) {
            throw new IllegalStateException("no request is answered");
        }
        return lost.get() > 0;
    }

    /** Sends a few requests ahead on one connection, until an answer announces its close. */
    private final class PipeliningCaller {

        private final GatewayProcess gateway;
        private final String prefix;
        private final long end;
        private final List<String> unanswered = new ArrayList<>();
        private volatile boolean closing;

        private PipeliningCaller(GatewayProcess gateway, String prefix, long end) {
            this.gateway = gateway;
            this.prefix = prefix;
            this.end = end;
        }

        private void run() {
            try (Caller caller =
                    new Caller(gateway.callerPort(), 2 * TIMEOUT_MILLISECONDS, WINDOW_BYTES)) {
                CountDownLatch senderEnded = new CountDownLatch(1);
                threads()
                        .execute(
                                () -> {
                                    sendAhead(caller);
                                    senderEnded.countDown();
                                });
                readAnswers(caller);
                senderEnded.await(5, TimeUnit.SECONDS);
            } catch (IOException ended) {
                record().line("%s connection: %s", prefix, ended);
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
            closing = true;
            synchronized (unanswered) {
                unanswered.forEach(this::countUnanswered);
            }
        }

        private void sendAhead(Caller caller) {
            try {
                for (int number = 0; !closing && System.nanoTime() < end; number++) {
                    String id = prefix + number;
                    synchronized (unanswered) {
                        unanswered.add(id);
                    }
                    asked.incrementAndGet();
                    record().line("sent %s", id);
                    caller.send(
                            Caller.head("GET", "/read/1", id, TIMEOUT_MILLISECONDS) + "\r\n");
                    waitForRoom();
                }
            } catch (IOException | InterruptedException ended) {
                record().line("%s sends no more: %s", prefix, ended);
            }
        }

        /** Keeps at most three requests without an answer. */
        private void waitForRoom() throws InterruptedException {
            do {
                Thread.sleep(INTERVAL_MILLISECONDS);
            } while (!closing && openRequests() >= 3);
        }

        private int openRequests() {
            synchronized (unanswered) {
                return unanswered.size();
            }
        }

        private void readAnswers(Caller caller) throws IOException, InterruptedException {
            while (System.nanoTime() < end || openRequests() > 0) {
                Message head = caller.readHead().orElse(null);
                if (head == null) {
                    record().line("%s connection is closed", prefix);
                    return;
                }
                Thread.sleep(LINK_DELAY_MILLISECONDS);
                boolean isLast =
                        head.header("Connection").filter("close"::equalsIgnoreCase).isPresent();
                closing |= isLast;
                String id = head.header("X-Siskinramp-Request-Id").orElse("");
                caller.skipSlowly(
                        Integer.parseInt(head.header("Content-Length").orElse("0")),
                        LINK_BYTES_PER_MILLISECOND);
                synchronized (unanswered) {
                    unanswered.remove(id);
                }
                answered.incrementAndGet();
                record().line("answered %s: %s%s", id, head.startLine(), isLast ? ", last" : "");
                if (isLast) {
                    return;
                }
            }
        }

        private void countUnanswered(String id) {
            String server = runs.get(id);
            if (server == null) {
                record().line("%s was not passed on", id);
                notPassedOn.incrementAndGet();
            } else {
                record().line("no complete answer to %s, which ran at %s", id, server);
                lost.incrementAndGet();
            }
        }
    }
}
