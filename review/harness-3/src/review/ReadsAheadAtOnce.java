package review;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers send some reads with large answers ahead of the first answer, and then pause. */
final class ReadsAheadAtOnce {

    private static final int CONNECTIONS = 250;
    private static final int READS = 7;
    private static final long WORK_MILLISECONDS = 60;
    private static final long START_SPREAD_MILLISECONDS = 1_000;
    private static final long PAUSE_MILLISECONDS = 2_000;
    private static final long LOAD_MILLISECONDS = 20_000;
    private static final long TIMEOUT_MILLISECONDS = 2_500;
    private static final long LATE_MILLISECONDS = TIMEOUT_MILLISECONDS + 500;
    /** After this time a caller abandons reads that the gateway has not read (PROTOCOL.md). */
    private static final long UNREAD_MILLISECONDS = 1_000;

    private static final long REST_MILLISECONDS = 10_000;

    /** The rule needs this many requests without an answer. */
    private static final int MINIMUM_UNANSWERED = 8;

    private final AtomicInteger abandoned = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger overTime = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final Record record;
    private final Deployment deployment;
    private final boolean ahead;
    private final long endMilliseconds;

    private ReadsAheadAtOnce(Record record, Deployment deployment, boolean ahead) {
        this.record = record;
        this.deployment = deployment;
        this.ahead = ahead;
        endMilliseconds = record.milliseconds() + LOAD_MILLISECONDS;
    }

    public static void main(String[] arguments) throws Exception {
        Case.run(Path.of(arguments[0]), ReadsAheadAtOnce::breaksRule);
    }

    private static boolean breaksRule(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = Deployment.large(record, WORK_MILLISECONDS)) {
            ReadsAheadAtOnce load = new ReadsAheadAtOnce(record, deployment, trouble);
            CountDownLatch ended = new CountDownLatch(CONNECTIONS);
            for (int number = 1; number <= CONNECTIONS; number++) {
                String prefix = "c" + number + "-";
                Threads.start(
                        () -> {
                            try {
                                load.sendRegularly(prefix);
                            } finally {
                                ended.countDown();
                            }
                        });
            }
            ended.await();
            Thread.sleep(REST_MILLISECONDS);
            load.sendAfterRest();
            record.add(
                    "requests: " + load.sent + ", unanswered at timeout_ms: " + load.overTime
                            + ", half a second later: " + load.unanswered);
            return load.unanswered.get() >= MINIMUM_UNANSWERED
                    && 2 * load.unanswered.get() > load.overTime.get();
        }
    }

    private void sendRegularly(String prefix) throws Exception {
        Thread.sleep(ThreadLocalRandom.current().nextLong(START_SPREAD_MILLISECONDS));
        int round = 0;
        while (record.milliseconds() < endMilliseconds) {
            try (Caller caller = deployment.gateway().connect(record)) {
                boolean open = true;
                while (open && record.milliseconds() < endMilliseconds) {
                    round++;
                    open = sendReads(caller, prefix + round + "-");
                    if (open) {
                        Thread.sleep(ThreadLocalRandom.current().nextLong(PAUSE_MILLISECONDS));
                    }
                }
            }
            Thread.sleep(ThreadLocalRandom.current().nextLong(PAUSE_MILLISECONDS));
        }
    }

    /** Sends a long read and others behind it; returns whether the connection is still open. */
    private boolean sendReads(Caller caller, String prefix) throws Exception {
        long[] sentMilliseconds = new long[READS];
        boolean open = true;
        for (int number = 0; number < READS && open; number++) {
            sentMilliseconds[number] = record.milliseconds();
            String path = Server.LARGE_PATH + (number == 0 ? Server.LONG_PATH : "/" + number);
            caller.send("GET", path, prefix + number, "", "");
            open = ahead || readAnswer(caller, sentMilliseconds[number]);
        }
        AtomicInteger answered = new AtomicInteger();
        if (ahead) {
            Threads.start(() -> abandonIfUnread(caller, prefix, answered));
        }
        for (int number = 0; ahead && number < READS && open; number++) {
            open = readAnswer(caller, sentMilliseconds[number]);
            answered.incrementAndGet();
        }
        return open;
    }

    /** A read that no server has begun to run counts as not read, which favours the gateway. */
    private void abandonIfUnread(Caller caller, String prefix, AtomicInteger answered)
            throws Exception {
        Thread.sleep(UNREAD_MILLISECONDS);
        for (int number = answered.get(); number < READS; number++) {
            if (!deployment.hasStarted(prefix + number)) {
                record.add("caller abandons " + prefix + number);
                abandoned.incrementAndGet();
                caller.close();
                return;
            }
        }
    }

    private boolean readAnswer(Caller caller, long sentMilliseconds) {
        Caller.Answer answer = caller.read();
        long took = record.milliseconds() - sentMilliseconds;
        sent.incrementAndGet();
        overTime.addAndGet(took > TIMEOUT_MILLISECONDS ? 1 : 0);
        unanswered.addAndGet(took > LATE_MILLISECONDS ? 1 : 0);
        return answer != null && !answer.closesConnection();
    }

    /** Shows whether the gateway works again after all connections were closed. */
    private void sendAfterRest() {
        record.add("the gateway runs: " + deployment.gateway().isRunning());
        record.add("the gateway says that it is ready: " + deployment.gateway().isReady());
        try (Caller caller = deployment.gateway().connect(record)) {
            caller.send("GET", "/read/rest", "rest", "", "");
            Caller.Answer unused = caller.read();
        } catch (Exception notConnected) {
            record.add("caller cannot connect: " + notConnected.getMessage());
        }
    }
}
