import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Small stand-ins for the platform's store, upstreams and clients, and a starter of gateways. */
final class Harness implements AutoCloseable {

    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final long startedNanos = System.nanoTime();
    final Path caseFolder;
    final Path temporaryFolder;
    final Store store = new Store();
    final List<Upstream> upstreams = new CopyOnWriteArrayList<>();
    final List<Gateway> gateways = new CopyOnWriteArrayList<>();
    private final PrintWriter record;
    private final String network;

    Harness(Path caseFolder) throws IOException {
        this.caseFolder = caseFolder;
        temporaryFolder = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
        Random random = new Random();
        network = "127." + (1 + random.nextInt(250)) + "." + random.nextInt(250) + ".";
        Runtime.getRuntime().addShutdownHook(new Thread(() -> gateways.forEach(Gateway::kill)));
        log("trouble=" + TROUBLE);
    }

    long now() {
        return (System.nanoTime() - startedNanos) / 1_000_000;
    }

    void log(String line) {
        synchronized (record) {
            record.println(String.format("%6d ", now()) + line);
            record.flush();
        }
    }

    /** Ends the run: prints the verdict, stops everything and exits. */
    void end(int code, String verdict) {
        log("verdict=" + code + " " + verdict);
        System.out.println("verdict=" + code + " " + verdict);
        close();
        Runtime.getRuntime().halt(code);
    }

    @Override
    public void close() {
        gateways.forEach(Gateway::kill);
        record.flush();
        try (var files = Files.walk(temporaryFolder)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException ignored) {
            // The folder is temporary.
        }
    }

    static void sleep(long milliseconds) {
        try {
            Thread.sleep(Math.max(0, milliseconds));
        } catch (InterruptedException stopped) {
            throw new IllegalStateException(stopped);
        }
    }

    static void start(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    Upstream upstream(String id, String service, String zone, int slots) throws IOException {
        Upstream upstream = new Upstream(id, service, zone, slots, 0);
        upstreams.add(upstream);
        return upstream;
    }

    Gateway gateway(int number, String zone, boolean bootstrap, List<String> seeds)
            throws IOException {
        Gateway gateway = new Gateway(number, zone, bootstrap, seeds);
        gateways.add(gateway);
        return gateway;
    }

    String address(int number) {
        return network + number;
    }

    /** A gateway process, started with the command and the template of the deploy file. */
    final class Gateway {
        final String ip;
        final String name;
        final Path log;
        private final Path settings;
        private volatile Process process;

        Gateway(int number, String zone, boolean bootstrap, List<String> seeds)
                throws IOException {
            ip = address(number);
            name = "edge-" + number;
            log = temporaryFolder.resolve(name + ".log");
            settings = temporaryFolder.resolve(name + ".toml");
            String text = Files.readString(Path.of("platform/settings/gateway.toml.template"));
            text = section(text, "seeds", seeds.stream().map(s -> "\"" + s + "\"")
                    .collect(java.util.stream.Collectors.joining(",")));
            text = section(text, "bootstrap", bootstrap ? "first_start = true\n" : "");
            text = section(text, "bounds", String.join("\n",
                    "seed_lag_s = 3", "addr_reuse_s = 2", "contact_ms = 3000", "ack_ms = 4000",
                    "sync_s = 4", "drain_ms = 2000", "grace_s = 6", "loss_slack_ms = 200",
                    "apply_ms = 2000", "revert_slack_ms = 250", "max_skew_ms = 5000",
                    "retry_ratio = 0.2", "retry_window_s = 10", "retry_slack = 62",
                    "cold_overage = 1.5", "warmup_slack = 5", "evac_ms = 5000", "recover_s = 15",
                    "probes_per_s = 60") + "\n");
            text = text.replace("{{node_name}}", name).replace("{{zone}}", zone)
                    .replace("{{listen_addrs.front}}", ip + ":8161")
                    .replace("{{listen_addrs.ready}}", ip + ":8167")
                    .replace("{{listen_addrs.control}}", ip + ":8166")
                    .replace("{{platform.address}}", store.address())
                    .replace("{{ip}}", ip);
            Files.writeString(settings, text);
            start();
        }

        private String section(String text, String name, String content) {
            String open = "{{#" + name + "}}";
            String end = "{{/" + name + "}}";
            int from = text.indexOf(open);
            int to = text.indexOf(end);
            return text.substring(0, from) + content + text.substring(to + end.length());
        }

        void start() throws IOException {
            String deploy = Files.readString(Path.of("deploy/system.toml"));
            String run = deploy.substring(deploy.indexOf("run = \"") + 7);
            run = run.substring(0, run.indexOf('"'));
            ProcessBuilder builder = new ProcessBuilder(List.of(run.split(" ")));
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("SISKINRAMP_BOOT", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            Harness.this.log("start " + name + " pid=" + process.pid());
        }

        boolean isRunning() {
            return process.isAlive();
        }

        void kill() {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, 8167), 1000);
                socket.setSoTimeout(1000);
                write(socket, "GET /siskinramp/ready HTTP/1.1\r\nHost: x\r\n\r\n", new byte[0]);
                return readAnswer(new BufferedInputStream(socket.getInputStream()), "GET").status
                        == 200;
            } catch (IOException failure) {
                return false;
            }
        }

        boolean awaitReady(long milliseconds) {
            long end = now() + milliseconds;
            while (now() < end) {
                if (isReady()) {
                    return true;
                }
                sleep(50);
            }
            return false;
        }

        void logTail(String word, int lines) throws IOException {
            List<String> all = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
            List<String> found = all.stream().filter(l -> l.contains(word)).toList();
            found.subList(Math.max(0, found.size() - lines), found.size())
                    .forEach(l -> Harness.this.log("log of " + name + ": " + l));
        }
    }

    // ---- messages ----

    static final class Message {
        String start = "";
        int status;
        String method = "";
        String target = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                throw new EOFException("end after \"" + bytes + "\"");
            }
            if (next != '\r') {
                bytes.write(next);
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    private static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        message.start = line(in);
        String header;
        while (!(header = line(in)).isEmpty()) {
            int colon = header.indexOf(':');
            message.headers.put(header.substring(0, colon), header.substring(colon + 1).strip());
        }
        return message;
    }

    static Message readRequest(InputStream in) throws IOException {
        Message message = readHead(in);
        String[] words = message.start.split(" ");
        message.method = words[0];
        message.target = words[1];
        readBody(message, in, false);
        return message;
    }

    static Message readAnswer(InputStream in, String method) throws IOException {
        Message message = readHead(in);
        message.status = Integer.parseInt(message.start.split(" ")[1]);
        if (message.status < 200) {
            return readAnswer(in, method);
        }
        readBody(message, in, true);
        return message;
    }

    private static void readBody(Message message, InputStream in, boolean toEnd)
            throws IOException {
        if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            int size;
            while ((size = Integer.parseInt(line(in).split(";")[0].strip(), 16)) > 0) {
                body.write(exactly(in, size));
                line(in);
            }
            line(in);
            message.body = body.toByteArray();
        } else if (!message.header("Content-Length").isEmpty()) {
            message.body = exactly(in, Integer.parseInt(message.header("Content-Length")));
        } else if (toEnd) {
            message.body = in.readAllBytes();
        }
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("body ends after " + bytes.length + " of " + size + " bytes");
        }
        return bytes;
    }

    static void write(Socket socket, String head, byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        OutputStream out = socket.getOutputStream();
        out.write(all.toByteArray());
        out.flush();
    }

    static String answerHead(int status, Map<String, String> headers, int length) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        return head + "Content-Length: " + length + "\r\n\r\n";
    }

    // ---- clients ----

    record Result(int status, String failure, long tookMilliseconds) {}

    /** A client with one connection, which it keeps open for many requests. */
    final class Client implements AutoCloseable {
        final Gateway gateway;
        Socket socket;
        InputStream in;

        Client(Gateway gateway) {
            this.gateway = gateway;
        }

        void open() throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(gateway.ip, 8161), 1000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        Result send(String id, String method, String host, String target, long deadline,
                byte[] body) {
            return send(id, method, host, target, deadline, body, 2000);
        }

        Result send(String id, String method, String host, String target, long deadline,
                byte[] body, long extraMilliseconds) {
            long started = now();
            try {
                if (socket == null || socket.isClosed()) {
                    open();
                }
                socket.setSoTimeout((int) (deadline + extraMilliseconds));
                String head = method + " " + target + " HTTP/1.1\r\nHost: " + host
                        + "\r\nX-Siskinramp-Request-Id: " + id
                        + "\r\nX-Siskinramp-Request-Deadline-Ms: " + deadline + "\r\n"
                        + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n")
                        + "\r\n";
                write(socket, head, body);
                Message answer = readAnswer(in, method);
                if (answer.header("Connection").equalsIgnoreCase("close")) {
                    close();
                }
                return new Result(answer.status, "", now() - started);
            } catch (IOException failure) {
                close();
                return new Result(0, failure.toString(), now() - started);
            }
        }

        @Override
        public void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException ignored) {
                // It is closed.
            }
            socket = null;
        }
    }

    // ---- upstreams ----

    interface Behaviour {
        /** Answers a request that has run; returns false if the connection is to be closed. */
        boolean answer(Upstream upstream, Message request, Socket socket, InputStream in)
                throws IOException;
    }

    /** An upstream. It registers itself in the store and counts what it runs. */
    final class Upstream {
        final String id;
        final String service;
        final String zone;
        final int slots;
        final ServerSocket server;
        final long born = System.currentTimeMillis();
        final AtomicLong sequence = new AtomicLong();
        final AtomicInteger running = new AtomicInteger();
        final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        volatile long workMilliseconds = 40;
        volatile Behaviour behaviour = Upstream::answerSoundly;

        Upstream(String id, String service, String zone, int slots, int port) throws IOException {
            this.id = id;
            this.service = service;
            this.zone = zone;
            this.slots = slots;
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress("127.0.0.1", port), 256);
            Harness.start("accept-" + id, this::accept);
            beat();
            Harness.start("beat-" + id, () -> {
                while (!server.isClosed()) {
                    sleep(1500);
                    beat();
                }
            });
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        void beat() {
            store.put("servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + address()
                    + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"concurrency\":" + slots
                    + ",\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":"
                    + sequence.incrementAndGet() + ",\"born\":" + born + "}");
        }

        private void accept() {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    Harness.start("serve-" + id, () -> serve(socket));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                boolean open = true;
                while (open) {
                    Message request = readRequest(in);
                    open = handle(request, socket, in);
                }
            } catch (IOException closed) {
                // The caller closed the connection.
            }
        }

        private boolean handle(Message request, Socket socket, InputStream in)
                throws IOException {
            if (request.target.equals("/health")) {
                Map<String, String> headers = headers();
                headers.put("X-Siskinramp-Instance-Id", id);
                headers.put("X-Siskinramp-Warmup-Ms", "0");
                write(socket, answerHead(200, headers, 0),
                        new byte[0]);
                return true;
            }
            Map<String, String> headers = headers();
            String requestId = request.header("X-Siskinramp-Request-Id");
            headers.put("X-Siskinramp-Request-Id", requestId);
            String target = request.header("X-Siskinramp-Target-Instance");
            if (!target.isEmpty() && !target.equals(id)) {
                headers.put("X-Siskinramp-Instance-Id", id);
                write(socket, answerHead(421, headers, 0), new byte[0]);
                return true;
            }
            if (running.incrementAndGet() > slots + 8) {
                running.decrementAndGet();
                headers.put("X-Siskinramp-Not-Executed", "1");
                write(socket, answerHead(503, headers, 0), new byte[0]);
                return true;
            }
            try {
                runs.computeIfAbsent(requestId, key -> new AtomicInteger()).incrementAndGet();
                return behaviour.answer(this, request, socket, in);
            } finally {
                running.decrementAndGet();
            }
        }

        Map<String, String> headers() {
            Map<String, String> headers = new LinkedHashMap<>();
            int busy = running.get();
            headers.put("X-Siskinramp-Upstream-Load", Math.min(busy, slots) + ","
                    + Math.max(0, busy - slots) + "," + slots + ",100");
            return headers;
        }

        boolean answerSoundly(Message request, Socket socket, InputStream in)
                throws IOException {
            sleep(workMilliseconds);
            Map<String, String> headers = headers();
            String requestId = request.header("X-Siskinramp-Request-Id");
            headers.put("X-Siskinramp-Request-Id", requestId);
            headers.put("X-Siskinramp-Upstream-Signature", "sig." + id + "." + requestId);
            byte[] body = (id + " " + requestId + " " + request.method + " " + request.target + " "
                    + request.body.length).getBytes(StandardCharsets.UTF_8);
            write(socket, answerHead(200, headers, body.length), body);
            return true;
        }
    }

    int runs(String requestId) {
        return upstreams.stream()
                .mapToInt(u -> u.runs.getOrDefault(requestId, new AtomicInteger()).get()).sum();
    }

    // ---- the platform's store ----

    record Row(String table, String key, String value, long version, boolean removed) {}

    /** The platform's metadata store: tables with a change feed. */
    final class Store {
        private final ServerSocket server;
        private final TreeMap<String, Row> rows = new TreeMap<>();
        private final List<Row> history = new ArrayList<>();
        private long version = 1;

        Store() throws IOException {
            server = new ServerSocket();
            server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
            Harness.start("store", () -> {
                while (!server.isClosed()) {
                    try {
                        Socket socket = server.accept();
                        socket.setTcpNoDelay(true);
                        Harness.start("store-call", () -> serve(socket));
                    } catch (IOException closed) {
                        return;
                    }
                }
            });
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        synchronized void put(String table, String key, String value) {
            change(new Row(table, key, Base64.getEncoder().encodeToString(
                    value.getBytes(StandardCharsets.UTF_8)), ++version, false));
        }

        synchronized void remove(String table, String key) {
            if (rows.containsKey(table + "/" + key)) {
                change(new Row(table, key, "", ++version, true));
            }
        }

        private void change(Row row) {
            String name = row.table + "/" + row.key;
            if (row.removed) {
                rows.remove(name);
            } else {
                rows.put(name, row);
            }
            history.add(row);
            notifyAll();
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    handle(readRequest(in), socket);
                }
            } catch (IOException closed) {
                // The caller closed the connection.
            }
        }

        private void handle(Message request, Socket socket) throws IOException {
            String path = request.target.split("\\?")[0];
            Map<String, String> query = new LinkedHashMap<>();
            if (request.target.contains("?")) {
                for (String pair : request.target.split("\\?", 2)[1].split("&")) {
                    String[] parts = pair.split("=", 2);
                    query.put(parts[0], java.net.URLDecoder.decode(
                            parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
                }
            }
            sleep(4);
            String answer;
            int status = 200;
            switch (path) {
                case "/siskinramp/rows-get" -> answer = get(query);
                case "/siskinramp/rows-feed" -> {
                    answer = feed(query);
                    status = answer == null ? 410 : 200;
                }
                case "/siskinramp/rows-tx" -> answer = transact(request.body);
                default -> {
                    answer = null;
                    status = 404;
                }
            }
            byte[] body = (answer == null ? "{}" : answer).getBytes(StandardCharsets.UTF_8);
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Content-Type", "application/json");
            write(socket, answerHead(status, headers, body.length), body);
        }

        private synchronized String get(Map<String, String> query) {
            List<Row> found = rows.values().stream()
                    .filter(row -> row.table.equals(query.get("table")))
                    .filter(row -> row.key.compareTo(query.getOrDefault("from", "")) >= 0)
                    .toList();
            return render(found, false);
        }

        private synchronized String feed(Map<String, String> query) {
            long after = Long.parseLong(query.get("after"));
            long end = System.currentTimeMillis()
                    + Long.parseLong(query.getOrDefault("wait_ms", "0"));
            while (true) {
                if (after > version) {
                    return null;
                }
                Map<String, Row> found = new LinkedHashMap<>();
                for (Row row : history) {
                    if (row.version > after && row.table.equals(query.get("table"))) {
                        found.remove(row.key);
                        found.put(row.key, row);
                    }
                }
                long left = end - System.currentTimeMillis();
                if (!found.isEmpty() || left <= 0) {
                    return render(new ArrayList<>(found.values()), true);
                }
                try {
                    wait(left);
                } catch (InterruptedException stopped) {
                    throw new IllegalStateException(stopped);
                }
            }
        }

        private String render(List<Row> found, boolean feed) {
            StringBuilder text = new StringBuilder("{\"rows\":[");
            for (int i = 0; i < found.size(); i++) {
                Row row = found.get(i);
                text.append(i == 0 ? "" : ",").append("{\"table\":").append(quote(row.table))
                        .append(",\"part\":\"\",\"key\":").append(quote(row.key))
                        .append(row.removed ? ",\"removed\":true"
                                : ",\"value\":\"" + row.value + "\"")
                        .append(",\"ver\":").append(row.version).append("}");
            }
            return text + "],\"has_more\":false,\"ver\":" + version + ",\"now_ms\":" + now() + "}";
        }

        private synchronized String transact(byte[] body) {
            String text = new String(body, StandardCharsets.UTF_8);
            version++;
            var puts = java.util.regex.Pattern.compile(
                    "\\{\"table\":\"([^\"]*)\",\"part\":\"[^\"]*\",\"key\":\"([^\"]*)\""
                            + "(?:,\"value\":\"([^\"]*)\")?\\}").matcher(text);
            while (puts.find()) {
                if (puts.group(3) != null) {
                    change(new Row(puts.group(1), puts.group(2), puts.group(3), version, false));
                } else if (rows.containsKey(puts.group(1) + "/" + puts.group(2))) {
                    change(new Row(puts.group(1), puts.group(2), "", version, true));
                }
            }
            return "{\"ver\":" + version + ",\"now_ms\":" + now() + "}";
        }
    }

    static String quote(String text) {
        StringBuilder quoted = new StringBuilder("\"");
        for (char each : text.toCharArray()) {
            if (each == '"' || each == '\\') {
                quoted.append('\\').append(each);
            } else if (each < ' ') {
                quoted.append(String.format("\\u%04x", (int) each));
            } else {
                quoted.append(each);
            }
        }
        return quoted.append('"').toString();
    }

    /** The configuration of a small deployment: one host, a safe and an unsafe route. */
    static String configuration(int version, String readService, String writeService) {
        return "{\"version\":\"r" + version + "\",\"services\":["
                + "{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":260,"
                + "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":5.3},"
                + "{\"name\":\"crew\",\"health_path\":\"/health\",\"max_conns\":260,"
                + "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":5.3}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"hosts\":[{\"host\":\"ficu95.example\",\"paths\":["
                + "{\"name\":\"r-read\",\"prefix\":\"/lohu930/\",\"kind\":\"safe\","
                + "\"timeout_ms\":1200,\"goal_latency_ms\":600,\"priority\":2,\"service\":\""
                + readService + "\",\"max_attempts\":2},"
                + "{\"name\":\"r-write\",\"prefix\":\"/pufi791/\",\"kind\":\"unsafe\","
                + "\"timeout_ms\":1500,\"goal_latency_ms\":800,\"priority\":1,\"service\":\""
                + writeService + "\",\"max_attempts\":2}]}]}";
    }
}
