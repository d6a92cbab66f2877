package org.siskinramp.standin.cluster;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.siskinramp.request.Header;
import org.siskinramp.standin.proxy.FaultProxy;
import org.siskinramp.standin.store.StoreFault;
import org.siskinramp.standin.store.StoreStandIn;
import org.siskinramp.standin.upstream.SampleDeployment;
import org.siskinramp.standin.upstream.UpstreamFault;
import org.siskinramp.standin.upstream.UpstreamStandIn;

/**
 * Runs gateways as processes. The store and the backend servers run in the process of the test, and
 * gateways reach them through fault proxies.
 */
final class SoakDeployment implements AutoCloseable {

    static final int HOSTS = 4;
    static final int SERVERS = 6;

    private static final int ZONES = 3;
    private static final int SLOTS = 4;
    private static final long SERVICE_TIME_MILLISECONDS = 20;

    /** How long a draining server still serves, since requests sent before may still arrive. */
    private static final long DRAIN_MILLISECONDS = 1_500;

    /** How long a crashed server is away. */
    private static final long RESTART_DELAY_MILLISECONDS = 1_000;

    /** How long the store is away before it returns with an older copy. */
    private static final long RESTORE_MILLISECONDS = 400;

    /** A store removes entries that were not renewed for three heartbeat intervals. */
    private static final long ENTRY_EXPIRY_MILLISECONDS = 1_500;

    private final Path directory;
    private final Map<String, String> operatorRows = new HashMap<>();
    private final Object restoreLock = new Object();
    private final StoreStandIn store = StoreStandIn.start("127.0.0.1:0");
    private final List<FaultProxy> storeLinks = new ArrayList<>();
    private final ProgramProcess[] gateways = new ProgramProcess[HOSTS];
    private final int[] callerPorts = new int[HOSTS];
    private final UpstreamStandIn[] servers = new UpstreamStandIn[SERVERS];
    private final FaultProxy[] serverLinks = new FaultProxy[SERVERS];
    private final List<UpstreamStandIn> allServers = new CopyOnWriteArrayList<>();
    private static final List<String> UNREADABLE_ADDRESSES =
            List.of("http://127.0.0.1:9", "127.0.0.300:9", "a b:9", "127.0.0.1/x:9", "::1:9");

    private final AtomicInteger startedServers = new AtomicInteger();
    private final AtomicInteger configurationVersions = new AtomicInteger();

    SoakDeployment(Path directory) throws IOException {
        this.directory = directory;
        configure("/extra/");
        for (int server = 0; server < SERVERS; server++) {
            startServer(server);
        }
        for (int host = 0; host < HOSTS; host++) {
            storeLinks.add(Cluster.proxyTo(store.address()));
            launch(host);
        }
        for (int host = 0; host < HOSTS; host++) {
            awaitStart(host);
        }
    }

    static String zone(int number) {
        return "zone-" + (char) ('a' + number % ZONES);
    }

    private void startServer(int server) {
        String identity = "i-" + server + "-" + startedServers.incrementAndGet();
        UpstreamStandIn started =
                new UpstreamStandIn(
                        identity, "desk", zone(server), SLOTS, SERVICE_TIME_MILLISECONDS, store);
        FaultProxy link = Cluster.proxyTo(started.address());
        started.publishAt(link.address());
        started.crashOnPathPrefix(
                SoakCallers.CRASHING_PATH, RESTART_DELAY_MILLISECONDS, requestId -> {});
        servers[server] = started;
        serverLinks[server] = link;
        allServers.add(started);
    }

    /** Replaces a server with a new one, after it has drained. */
    synchronized void replaceServer(int server) {
        UpstreamStandIn old = servers[server];
        FaultProxy oldLink = serverLinks[server];
        old.setAdditionalHeaders(new Header("Server-Leaving", "1"));
        old.drain();
        Waiting.milliseconds(DRAIN_MILLISECONDS);
        synchronized (serverLinks) {
            old.close();
            oldLink.close();
            store.remove("servers", old.identity());
            startServer(server);
        }
    }

    private void launch(int host) throws IOException {
        gateways[host] =
                GatewayProcesses.launch(
                        directory, host, zone(host), storeLinks.get(host).address());
    }

    private void awaitStart(int host) {
        callerPorts[host] = Integer.parseInt(gateways[host].await("started", "caller_port"));
    }

    int callerPort(int host) {
        return callerPorts[host];
    }

    ProgramProcess gateway(int host) {
        return gateways[host];
    }

    /** Starts a gateway again. Its process must have ended. */
    void restart(int host) throws IOException {
        launch(host);
        awaitStart(host);
    }

    void setStoreFault(StoreFault fault) {
        store.setFault(fault);
    }

    void dropStoreHistory() {
        store.dropHistory();
    }

    void setStoreLinkFaults(int host, String faults) {
        postFaults(storeLinks.get(host), faults);
    }

    void setServerLinkFaults(int server, String faults) {
        synchronized (serverLinks) {
            postFaults(serverLinks[server], faults);
        }
    }

    void setServerFault(int server, UpstreamFault fault) {
        servers[server].setFault(fault);
    }

    /** Makes a server shed all requests and ask for a pause. */
    void askForPause(int server, String seconds) {
        servers[server].setAdditionalHeaders(new Header("Retry-After", seconds));
        servers[server].setFault(UpstreamFault.SHED);
    }

    void endPause(int server) {
        servers[server].setAdditionalHeaders();
        servers[server].setFault(UpstreamFault.NONE);
    }

    private static void postFaults(FaultProxy link, String faults) {
        Cluster.postFaults(link.controlAddress(), faults);
    }

    /** Writes a newer configuration, with one additional route for reads. */
    void configure(String prefix) {
        int version = configurationVersions.incrementAndGet();
        String additionalRoute =
                """
                {"name":"extra","prefix":"%s","kind":"safe","timeout_ms":1200,
                 "goal_latency_ms":600,"priority":2,"service":"desk","max_attempts":2},
                """
                        .formatted(prefix);
        writeAsOperator(
                "config",
                SampleDeployment.configuration(version)
                        .replace("\"paths\":[", "\"paths\":[" + additionalRoute));
    }

    void evacuate(int zone) {
        writeAsOperator("evacuate/" + zone(zone), "{}");
    }

    void endEvacuation(int zone) {
        writeAsOperator("evacuate/" + zone(zone), "");
    }

    /** Writes a row of the operator table, or removes it if the value is empty. */
    private void writeAsOperator(String key, String value) {
        synchronized (operatorRows) {
            operatorRows.put(key, value);
            if (value.isEmpty()) {
                store.remove("op", key);
            } else {
                store.put("op", key, value);
            }
        }
    }

    /**
     * Restores the store from a copy of some time ago. Operators write again what it lost, and
     * entries that no server renews expire.
     */
    void restoreStore(long lostMilliseconds) {
        synchronized (restoreLock) {
            store.saveCopy();
            Waiting.milliseconds(lostMilliseconds);
            store.setFault(StoreFault.BUSY);
            Waiting.milliseconds(RESTORE_MILLISECONDS);
            store.restoreCopy();
            store.setFault(StoreFault.NONE);
            synchronized (operatorRows) {
                Map.copyOf(operatorRows).forEach(this::writeAsOperator);
            }
            Waiting.milliseconds(ENTRY_EXPIRY_MILLISECONDS);
            store.removeRowsNotRenewed("servers");
        }
    }

    /** Leaves entries in the servers table that name no server that could be used. */
    void addUnreadableEntries() {
        for (int number = 0; number < UNREADABLE_ADDRESSES.size(); number++) {
            store.put(
                    "servers",
                    "unreadable-" + number,
                    """
                    {"service":"desk","address":"%s","zone":"%s","version":"v1","concurrency":4,
                     "state":"ready","warmup_left_ms":0,"sequence":1}"""
                            .formatted(UNREADABLE_ADDRESSES.get(number), zone(number)));
        }
    }

    void removeUnreadableEntries() {
        for (int number = 0; number < UNREADABLE_ADDRESSES.size(); number++) {
            store.remove("servers", "unreadable-" + number);
        }
    }

    /** Makes a server announce a rate limit in its answers. */
    void limitRate(int server, String requestsPerSecond) {
        servers[server].setAdditionalHeaders(new Header("Server-Limit", requestsPerSecond));
    }

    void endRateLimit(int server) {
        servers[server].setAdditionalHeaders();
    }

    /** Ends all faults of the store, of the servers and of the proxies, and all evacuations. */
    void clearFaults() {
        store.setFault(StoreFault.NONE);
        storeLinks.forEach(link -> postFaults(link, "{\"heal\": true}"));
        for (int server = 0; server < SERVERS; server++) {
            setServerFault(server, UpstreamFault.NONE);
            setServerLinkFaults(server, "{\"heal\": true}");
        }
        for (int zone = 0; zone < ZONES; zone++) {
            endEvacuation(zone);
        }
    }

    /** Returns how often each request ran, including runs on replaced servers. */
    Map<String, Integer> runs() {
        Map<String, Integer> runs = new HashMap<>();
        allServers.forEach(
                server ->
                        server.runs().forEach((id, count) -> runs.merge(id, count, Integer::sum)));
        return runs;
    }

    int runsInZone(int zone) {
        int runs = 0;
        for (int server = 0; server < SERVERS; server++) {
            if (zone(server).equals(zone(zone))) {
                runs += servers[server].runs().values().stream().mapToInt(count -> count).sum();
            }
        }
        return runs;
    }

    @Override
    public void close() {
        for (ProgramProcess gateway : gateways) {
            if (gateway != null) {
                gateway.close();
            }
        }
        for (int server = 0; server < SERVERS; server++) {
            servers[server].close();
            serverLinks[server].close();
        }
        storeLinks.forEach(FaultProxy::close);
        store.close();
    }
}
