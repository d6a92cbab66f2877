import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Paths begin with two slashes, as when a client joins a base address that ends with a slash and a
 * path that begins with one. A public route with the prefix of one slash takes these requests.
 */
final class DoubleSlash extends ReviewCase {

    private static final int TIMEOUT_MILLISECONDS = 1200;
    private static final int REQUESTS = 40;
    private static final String KEY = "2ftimaj3nr26tta828m8";

    private final Map<String, Run> runs = new ConcurrentHashMap<>();

    /** What a server ran, and for which tenant. */
    private record Run(String target, String tenant) {}

    /** A request, by its method, its path without the disruption and with it, and its key. */
    private enum Kind {
        PUBLIC_PAGE("GET", "/lines/%d/stops?lang=kk", "//lines/%d/stops?lang=kk", false),
        BOOKING_WITH_KEY("POST", "/bookings/%d", "//bookings/%d", true),
        BOOKING_WITHOUT_KEY("POST", "/bookings/%d", "//x/bookings/%d", false);

        private final String method;
        private final String path;
        private final String changedPath;
        private final boolean hasKey;

        Kind(String method, String path, String changedPath, boolean hasKey) {
            this.method = method;
            this.path = path;
            this.changedPath = changedPath;
            this.hasKey = hasKey;
        }
    }

    public static void main(String[] arguments) {
        main(new DoubleSlash(), arguments);
    }

    @Override
    boolean run() throws Exception {
        String routes =
                configuration(
                        publicRoute(route("pages", "/", "safe", TIMEOUT_MILLISECONDS)),
                        route("bookings", "/bookings/", "unsafe", TIMEOUT_MILLISECONDS));
        store().put("op", "config", withTenant(routes));
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

    private static String publicRoute(String route) {
        return route.substring(0, route.length() - 1) + ",\"public\":true}";
    }

    private static String withTenant(String configuration) {
        return configuration.replace(
                "\"base_version\"",
                "\"tenants\":[{\"name\":\"sese880\",\"api_keys\":[\""
                        + KEY
                        + "\"],\"rate_per_s\":202,\"burst\":202}],\"base_version\"");
    }

    private boolean answer(Upstream.Call call) throws IOException {
        Message request = call.request();
        Run run =
                new Run(
                        request.method() + " " + request.target(),
                        request.header("X-Siskinramp-Tenant").orElse("none"));
        runs.put(call.id(), run);
        record().line("run %s: %s, tenant %s", call.id(), run.target, run.tenant);
        return call.answer(request.target().getBytes());
    }

    private boolean play(GatewayProcess gateway) {
        int changed = 0;
        int changedBySoundClients = 0;
        int bookedWithoutKey = 0;
        for (int number = 0; number < REQUESTS; number++) {
            Kind kind = Kind.values()[number % Kind.values().length];
            String id = "r-" + number;
            String path = String.format(hasTrouble() ? kind.changedPath : kind.path, number);
            String outcome = ask(gateway, kind, path, id);
            Run run = runs.get(id);
            record().line("sent %s: %s %s, answered %s", id, kind, path, outcome);
            if (run != null && !run.target.equals(kind.method + " " + path)) {
                changed++;
                changedBySoundClients += kind == Kind.BOOKING_WITHOUT_KEY ? 0 : 1;
                record().result(
                                "UNASKED: sent %s %s, run %s for tenant %s",
                                kind.method, path, run.target, run.tenant);
                bookedWithoutKey +=
                        run.target.startsWith("POST /bookings/") && !kind.hasKey ? 1 : 0;
            }
        }
        record().result(
                        "%d of %d requests ran, %d of them changed, %d bookings without a key",
                        runs.size(), REQUESTS, changed, bookedWithoutKey);
        if (!hasTrouble() && runs.isEmpty()) {
            throw new IllegalStateException("no request runs");
        }
        // A client without a key may send anything; the rule is judged by the other requests.
        return changedBySoundClients > 0;
    }

    private static String ask(GatewayProcess gateway, Kind kind, String path, String id) {
        try (Caller caller = new Caller(gateway.callerPort(), 2 * TIMEOUT_MILLISECONDS)) {
            caller.send(
                    Caller.head(kind.method, path, id, TIMEOUT_MILLISECONDS)
                            + (kind.hasKey ? "Authorization: Bearer " + KEY + "\r\n" : "")
                            + (kind.method.equals("POST") ? "Content-Length: 0\r\n" : "")
                            + "\r\n");
            return caller.read()
                    .map(answer -> answer.startLine() + ", body " + new String(answer.body()))
                    .orElse("closed");
        } catch (IOException failure) {
            return failure.toString();
        }
    }
}
