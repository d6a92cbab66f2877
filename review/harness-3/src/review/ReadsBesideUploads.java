package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Callers send reads ahead of a slow first answer, on a route with one attempt, while another uploads.
 */
final class ReadsBesideUploads {

    private static final int CONNECTIONS = 30;
    private static final int READS = 3;
    private static final int READ_ATTEMPTS = 1;
    private static final int UPLOADS_AT_ONCE = 1;

    /** An eighth of "max_body_bytes". */
    private static final int UPLOAD_BYTES = 8 * 1024 * 1024;

    private static final long WORK_MILLISECONDS = 60;
    private static final long UPLOAD_LEAD_MILLISECONDS = 300;

    /** The rule allows three such requests. */
    private static final int ALLOWED = 3;

    private ReadsBesideUploads() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(Path.of(arguments[0]), ReadsBesideUploads::breaksRule);
    }

    private static boolean breaksRule(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, WORK_MILLISECONDS, READ_ATTEMPTS)) {
            AtomicBoolean uploading = new AtomicBoolean(trouble);
            for (int uploader = 1; uploader <= UPLOADS_AT_ONCE; uploader++) {
                String prefix = "u" + uploader + "-";
                Threads.start(() -> upload(deployment, record, prefix, uploading));
            }
            Thread.sleep(UPLOAD_LEAD_MILLISECONDS);
            for (int connection = 1; connection <= CONNECTIONS; connection++) {
                readAhead(deployment, record, "c" + connection + "-");
            }
            uploading.set(false);
            if (!deployment.gateway().isRunning()) {
                throw new IllegalStateException("the gateway ended");
            }
            List<String> exceeded =
                    Runs.readsOnMoreServersThan(READ_ATTEMPTS, deployment.runs());
            record.add("run on more servers than max_attempts: " + exceeded);
            return exceeded.size() > ALLOWED;
        }
    }

    private static void upload(
            Deployment deployment, Record record, String prefix, AtomicBoolean uploading)
            throws IOException {
        String body = "a".repeat(UPLOAD_BYTES);
        int number = 0;
        while (uploading.get()) {
            number++;
            try (Caller caller = deployment.gateway().connect(record)) {
                caller.send("POST", "/write/upload" + Server.LONG_PATH, prefix + number, "", body);
                Caller.Answer unused = caller.read();
            }
        }
    }

    /** Sends one long read and others behind it, and reads all answers. */
    private static void readAhead(Deployment deployment, Record record, String prefix)
            throws IOException {
        try (Caller caller = deployment.gateway().connect(record)) {
            caller.send("GET", "/read" + Server.LONG_PATH, prefix + "long", "", "");
            for (int number = 1; number <= READS; number++) {
                caller.send("GET", "/read/" + number, prefix + number, "", "");
            }
            for (int number = 0; number <= READS; number++) {
                if (caller.read() == null) {
                    return;
                }
            }
        }
    }
}
