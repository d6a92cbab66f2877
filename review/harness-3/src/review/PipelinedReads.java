package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A caller sends reads with large headers ahead of the first answer, on a kept connection. */
final class PipelinedReads {

    private static final int CONNECTIONS = 3;
    private static final int READS = 8;

    /** With the rest of its head, each read stays far below "max_header_bytes". */
    private static final int COOKIE_BYTES = 3_000;

    private static final long WORK_MILLISECONDS = 400;
    private static final long SEND_INTERVAL_MILLISECONDS = 10;

    /** The rule allows three such requests. */
    private static final int ALLOWED = 3;

    private PipelinedReads() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(Path.of(arguments[0]), PipelinedReads::breaksRule);
    }

    private static boolean breaksRule(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, WORK_MILLISECONDS)) {
            int lost = 0;
            for (int connection = 1; connection <= CONNECTIONS; connection++) {
                lost += readAll(deployment, record, "c" + connection + "-", trouble);
            }
            record.add("passed on and closed without an answer: " + lost);
            if (!deployment.gateway().isRunning()) {
                throw new IllegalStateException("the gateway ended");
            }
            return lost > ALLOWED;
        }
    }

    /** Returns how many requests a server began to run and the connection did not answer. */
    private static int readAll(
            Deployment deployment, Record record, String prefix, boolean trouble)
            throws Exception {
        Set<String> answered = new HashSet<>();
        try (Caller caller = deployment.gateway().connect(record)) {
            caller.send("GET", "/read/first", prefix + "first", "", "");
            if (caller.read() == null) {
                throw new IOException("the first read was not answered");
            }
            boolean open = true;
            for (int number = 1; number <= READS; number++) {
                String cookie = "Cookie: session=" + "a".repeat(COOKIE_BYTES) + "\r\n";
                caller.send("GET", "/read/" + number, prefix + number, cookie, "");
                if (trouble) {
                    Thread.sleep(SEND_INTERVAL_MILLISECONDS);
                } else {
                    open = readNext(caller, answered);
                }
            }
            while (trouble && open && answered.size() < READS) {
                open = readNext(caller, answered);
            }
        }
        Thread.sleep(2 * WORK_MILLISECONDS);
        List<String> unanswered =
                deployment.runs().stream()
                        .map(Server.Run::requestId)
                        .filter(id -> id.startsWith(prefix) && !id.endsWith("first"))
                        .filter(id -> !answered.contains(id))
                        .distinct()
                        .toList();
        record.add("run without an answer: " + unanswered);
        return unanswered.size();
    }

    private static boolean readNext(Caller caller, Set<String> answered) {
        Caller.Answer answer = caller.read();
        if (answer == null) {
            return false;
        }
        answered.add(answer.requestId());
        return true;
    }
}
