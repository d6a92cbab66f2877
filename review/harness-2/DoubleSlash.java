import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Clients join a base address that ends with a slash and a path that begins with one, so that the
 * path begins with two slashes. A route with the prefix of one slash takes these requests.
 */
final class DoubleSlash extends ReviewCase {

    private static final int TIMEOUT_MILLISECONDS = 1200;
    private static final int REQUESTS = 40;

    private final Map<String, String> runs = new ConcurrentHashMap<>();

    public static void main(String[] arguments) {
        main(new DoubleSlash(), arguments);
    }

    @Override
    boolean run() throws Exception {
        store().put(
                        "op",
                        "config",
                        configuration(
                                route("all", "/", "safe", TIMEOUT_MILLISECONDS),
                                route("lots", "/lots/", "unsafe", TIMEOUT_MILLISECONDS)));
        List<Upstream> servers = new ArrayList<>();
        for (int number = 1; number <= 2; number++) {
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
        Message request = call.request();
        runs.put(call.id(), request.method() + " " + request.target());
        record().line("run %s: %s", call.id(), request.startLine());
        return call.answer(request.target().getBytes());
    }

    private boolean play(GatewayProcess gateway) {
        String base = hasTrouble() ? "/" : "";
        int changed = 0;
        int ran = 0;
        for (int number = 0; number < REQUESTS; number++) {
            String id = "r-" + number;
            String method = number % 2 == 0 ? "GET" : "POST";
            String target = base + (number % 2 == 0 ? "/boards/" : "/lots/") + number + "/bids?lang=es";
            String outcome = ask(gateway, method, target, id);
            String run = runs.get(id);
            record().line("sent %s: %s %s, answered %s", id, method, target, outcome);
            ran += run == null ? 0 : 1;
            if (run != null && !run.equals(method + " " + target)) {
                changed++;
                record().result("UNASKED: sent %s %s, run %s", method, target, run);
            }
        }
        record().result("%d of %d requests ran, %d of them changed", ran, REQUESTS, changed);
        if (!hasTrouble() && ran == 0) {
            throw new IllegalStateException("no request runs");
        }
        return changed > 0;
    }

    private static String ask(GatewayProcess gateway, String method, String target, String id) {
        try (Caller caller = new Caller(gateway.callerPort(), 2 * TIMEOUT_MILLISECONDS)) {
            String length = method.equals("POST") ? "Content-Length: 0\r\n" : "";
            caller.send(Caller.head(method, target, id, TIMEOUT_MILLISECONDS) + length + "\r\n");
            return caller.read()
                    .map(answer -> answer.startLine() + ", body " + new String(answer.body()))
                    .orElse("closed");
        } catch (IOException failure) {
            return failure.toString();
        }
    }
}
