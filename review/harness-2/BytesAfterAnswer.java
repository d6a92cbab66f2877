import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Two of four backend servers answer three in a hundred of their requests, which are long uploads,
 * before they have read the body, send additional bytes after the complete answer, and read on
 * later. Without the disruption they do the same, but send no additional bytes.
 */
final class BytesAfterAnswer extends ReviewCase {

    private static final int SERVERS = 4;
    private static final int SPOILING_SERVERS = 2;
    private static final double SPOILED_SHARE = 0.03;
    private static final int TIMEOUT_MILLISECONDS = 2500;
    private static final int UPLOAD_BYTES = 7 * 1024 * 1024;
    private static final int REQUESTS = 600;
    private static final int UPLOAD_INTERVAL = 10;
    private static final int EXTRA_DELAY_MILLISECONDS = 20;
    private static final int UNREAD_MILLISECONDS = 80;

    private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();
    private final Spoiler spoiler = new Spoiler();

    /** What a server answered to a request, and what it sent after that. */
    private record Run(String server, int status, Extra extra) {}

    /** What follows the answer to a spoiled upload. */
    private enum Extra {
        NOTHING(200),
        SECOND_ANSWER_OK(422),
        SECOND_ANSWER_OF_ANOTHER_INSTANCE(200),
        NO_ANSWER(200);

        private final int firstStatus;

        Extra(int firstStatus) {
            this.firstStatus = firstStatus;
        }

        private String bytes(Upstream.Call call) {
            return switch (this) {
                case NOTHING -> "";
                case SECOND_ANSWER_OK ->
                        call.answerHead("200 OK") + "Content-Length: 6\r\n\r\nsecond";
                case SECOND_ANSWER_OF_ANOTHER_INSTANCE ->
                        "HTTP/1.1 421 Misdirected Request\r\n"
                                + "X-Siskinramp-Instance-Id: i-0\r\nContent-Length: 0\r\n\r\n";
                case NO_ANSWER -> "these bytes are no answer\r\n\r\n";
            };
        }
    }

    /** Chooses the spoiled answers, which stay below the share of each server. */
    private static final class Spoiler {

        private final Map<String, Integer> answers = new ConcurrentHashMap<>();
        private final Map<String, Integer> spoiled = new ConcurrentHashMap<>();
        private int next;

        synchronized Extra next(String server, boolean isUpload) {
            int total = answers.merge(server, 1, Integer::sum);
            boolean spoils =
                    isUpload
                            && Integer.parseInt(server.substring(2)) <= SPOILING_SERVERS
                            && spoiled.getOrDefault(server, 0) + 1 <= SPOILED_SHARE * total;
            if (!spoils) {
                return Extra.NOTHING;
            }
            spoiled.merge(server, 1, Integer::sum);
            next++;
            return Extra.values()[1 + next % (Extra.values().length - 1)];
        }

        @Override
        public synchronized String toString() {
            return "answers by server " + answers + ", spoiled " + spoiled;
        }
    }

    public static void main(String[] arguments) {
        main(new BytesAfterAnswer(), arguments);
    }

    @Override
    boolean run() throws Exception {
        store().put(
                        "op",
                        "config",
                        configuration(route("file", "/file/", "unsafe", TIMEOUT_MILLISECONDS)));
        List<Upstream> servers = new ArrayList<>();
        for (int number = 1; number <= SERVERS; number++) {
            servers.add(new Upstream("i-" + number, "desk", store(), this::answer, true));
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
        boolean isUpload = call.request().target().startsWith("/file/upload/");
        Extra extra = spoiler.next(call.upstream().id(), isUpload);
        boolean isEarly = extra != Extra.NOTHING;
        if (!isEarly) {
            call.skipBody();
        }
        Run run = new Run(call.upstream().id(), extra.firstStatus, extra);
        List<Run> all = runs.computeIfAbsent(call.id(), id -> new CopyOnWriteArrayList<>());
        all.add(run);
        record().line("run %s: run %d, %s", call.id(), all.size(), run);
        String body = extra.firstStatus == 200 ? "done" : "failed";
        call.write(
                call.answerHead(extra.firstStatus + " Answer")
                        + "Content-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
        if (isEarly) {
            pause(EXTRA_DELAY_MILLISECONDS);
            if (hasTrouble()) {
                call.write(extra.bytes(call));
            }
            pause(UNREAD_MILLISECONDS);
            call.skipBody();
        }
        return true;
    }

    private static void pause(int milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean play(GatewayProcess gateway) {
        int mixed = 0;
        int twice = 0;
        int refused = 0;
        for (int number = 0; number < REQUESTS; number++) {
            String id = "r-" + number;
            boolean isUpload = number % UPLOAD_INTERVAL == 0;
            Outcome outcome = ask(gateway, id, isUpload);
            List<Run> all = runs.getOrDefault(id, List.of());
            int count = all.size();
            record().line("sent %s, answered %s, runs %d", id, outcome, count);
            boolean isPromise = List.of(408, 421, 429, 503).contains(outcome.status);
            boolean isOfAServer = all.stream().anyMatch(run -> run.status == outcome.status);
            if (outcome.signed && !isOfAServer) {
                mixed++;
                record().result("MIXED: %s got %d with a signature, %s", id, outcome.status, all);
            }
            if (count > 1) {
                twice++;
                record().result("TWICE: %s ran %d times, %s", id, count, all);
            }
            if (isPromise && count > 0) {
                refused++;
                record().result("REFUSED: %s has run and was answered %d", id, outcome.status);
            }
        }
        record().result("%s", spoiler);
        record().result(
                        "of %d requests: MIXED %d, TWICE %d, REFUSED %d",
                        REQUESTS, mixed, twice, refused);
        return mixed + twice + refused > 0;
    }

    private record Outcome(int status, boolean signed, String text) {}

    private static Outcome ask(GatewayProcess gateway, String id, boolean isUpload) {
        int bytes = isUpload ? UPLOAD_BYTES : 100;
        String target = isUpload ? "/file/upload/1" : "/file/1";
        try (Caller caller = new Caller(gateway.callerPort(), 2 * TIMEOUT_MILLISECONDS)) {
            caller.send(
                    Caller.head("POST", target, id, TIMEOUT_MILLISECONDS)
                            + "Content-Length: "
                            + bytes
                            + "\r\n\r\n");
            caller.send(new byte[bytes]);
            return caller.read()
                    .map(
                            answer ->
                                    new Outcome(
                                            answer.status(),
                                            answer.header("X-Siskinramp-Upstream-Signature")
                                                    .isPresent(),
                                            new String(answer.body())))
                    .orElse(new Outcome(0, false, "closed"));
        } catch (IOException failure) {
            return new Outcome(0, false, failure.toString());
        }
    }
}
