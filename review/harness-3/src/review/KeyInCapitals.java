package review;

import java.nio.file.Path;
import java.util.List;

/** A caller sends a key that does not exist behind one that does, on a kept connection. */
final class KeyInCapitals {

    private static final long WORK_MILLISECONDS = 50;
    private static final String KEY = "2ftimaj3nr26tta828m8";
    private static final String UNKNOWN_KEY = "2FTIMAJ3NR26TTA828M8";

    private KeyInCapitals() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(Path.of(arguments[0]), KeyInCapitals::breaksRule);
    }

    private static boolean breaksRule(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = Deployment.withKey(record, WORK_MILLISECONDS, KEY)) {
            try (Caller first = deployment.gateway().connect(record);
                    Caller second = deployment.gateway().connect(record)) {
                send(first, "known", KEY);
                send(trouble ? first : second, "unknown", UNKNOWN_KEY);
            }
            if (!deployment.gateway().isRunning()) {
                throw new IllegalStateException("the gateway ended");
            }
            List<Server.Run> runs =
                    deployment.runs().stream()
                            .filter(run -> run.requestId().equals("unknown"))
                            .toList();
            record.add("run with a key that no configuration held: " + runs.size());
            return !runs.isEmpty();
        }
    }

    private static void send(Caller caller, String requestId, String key) throws Exception {
        caller.send(
                "POST",
                "/write/" + requestId,
                requestId,
                "Authorization: Bearer " + key + "\r\n",
                "content");
        if (caller.read() == null) {
            throw new IllegalStateException("a request was not answered");
        }
    }
}
