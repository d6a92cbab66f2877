import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's store with the calls that a gateway makes: {@code rows-get}, {@code rows-feed} and
 * {@code rows-tx}, with one part for each table.
 */
final class Store implements AutoCloseable {

    private static final Pattern ROW =
            Pattern.compile(
                    "\\{\"table\":\"([^\"]*)\",\"part\":\"([^\"]*)\",\"key\":\"([^\"]*)\""
                            + "(?:,\"ver\":(\\d+))?(?:,\"value\":\"([^\"]*)\")?\\}");

    private final HttpServer server;
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final List<Row> changes = new ArrayList<>();
    private long version;

    /** One version of a row; the value is null if the row was removed. */
    private record Row(String table, String key, String value, long version) {

        String toJson() {
            return "{\"table\":\""
                    + table
                    + "\",\"part\":\"\",\"key\":\""
                    + key
                    + "\",\"ver\":"
                    + version
                    + (value == null ? ",\"removed\":true" : ",\"value\":\"" + value + "\"")
                    + "}";
        }
    }

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.setExecutor(
                Executors.newCachedThreadPool(
                        task -> {
                            Thread thread = new Thread(task, "store");
                            thread.setDaemon(true);
                            return thread;
                        }));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes a row as the operator or a server does. */
    synchronized void put(String table, String key, String json) {
        version++;
        write(table, key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        version++;
        write(table, key, null);
        notifyAll();
    }

    private void write(String table, String key, String value) {
        Row row = new Row(table, key, value, version);
        if (value == null) {
            rows(table).remove(key);
        } else {
            rows(table).put(key, row);
        }
        changes.add(row);
    }

    private TreeMap<String, Row> rows(String table) {
        return tables.computeIfAbsent(table, name -> new TreeMap<>());
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        byte[] body = exchange.getRequestBody().readAllBytes();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        String answer;
        int status = 200;
        if (path.equals("/siskinramp/rows-get")) {
            answer = get(query);
        } else if (path.equals("/siskinramp/rows-feed")) {
            answer = feed(query);
        } else if (path.equals("/siskinramp/rows-tx")) {
            answer = transact(new String(body, StandardCharsets.UTF_8));
            status = answer.contains("\"rows\"") ? 412 : 200;
        } else {
            answer = "{}";
            status = 404;
        }
        byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().add("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static Map<String, String> query(String text) {
        Map<String, String> fields = new HashMap<>();
        for (String field : text == null ? new String[0] : text.split("&")) {
            int equals = field.indexOf('=');
            fields.put(
                    field.substring(0, equals),
                    URLDecoder.decode(field.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return fields;
    }

    private String end() {
        return "\"ver\":" + version + ",\"now_ms\":" + System.nanoTime() / 1_000_000;
    }

    private synchronized String get(Map<String, String> query) {
        List<String> found = new ArrayList<>();
        rows(query.get("table")).tailMap(query.getOrDefault("from", ""), true).values().stream()
                .map(Row::toJson)
                .forEach(found::add);
        return "{\"rows\":[" + String.join(",", found) + "],\"has_more\":false," + end() + "}";
    }

    private synchronized String feed(Map<String, String> query) {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        List<String> found = changesAfter(query.get("table"), after);
        while (found.isEmpty() && System.nanoTime() < end) {
            try {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
                break;
            }
            found = changesAfter(query.get("table"), after);
        }
        return "{\"rows\":[" + String.join(",", found) + "]," + end() + "}";
    }

    private List<String> changesAfter(String table, long after) {
        Map<String, Row> latest = new TreeMap<>();
        changes.stream()
                .filter(row -> row.table().equals(table) && row.version() > after)
                .forEach(row -> latest.put(row.key(), row));
        return latest.values().stream()
                .sorted((one, other) -> Long.compare(one.version(), other.version()))
                .map(Row::toJson)
                .toList();
    }

    private synchronized String transact(String body) {
        String conditions = section(body, "precondition");
        Matcher condition = ROW.matcher(conditions);
        while (condition.find()) {
            Row row = rows(condition.group(1)).get(condition.group(3));
            long actual = row == null ? 0 : row.version();
            if (actual != Long.parseLong(condition.group(4))) {
                return "{\"rows\":[" + (row == null ? "" : row.toJson()) + "]," + end() + "}";
            }
        }
        version++;
        Matcher put = ROW.matcher(section(body, "put"));
        while (put.find()) {
            write(put.group(1), put.group(3), put.group(5));
        }
        Matcher removed = ROW.matcher(section(body, "remove"));
        while (removed.find()) {
            write(removed.group(1), removed.group(3), null);
        }
        notifyAll();
        return "{" + end() + "}";
    }

    private static String section(String body, String name) {
        int start = body.indexOf("\"" + name + "\":[");
        return start < 0 ? "" : body.substring(start, body.indexOf(']', start));
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
