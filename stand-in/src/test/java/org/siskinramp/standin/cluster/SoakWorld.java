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
import org.siskinramp.standin.upstream.GatewayWorld;
import org.siskinramp.standin.upstream.UpstreamFault;
import org.siskinramp.standin.upstream.UpstreamStandIn;

/** Runs gateways as processes behind proxies, with a store and backend servers in this process. */
final class SoakWorld implements AutoCloseable {

    static final int HOSTS = 4;
    static final int SERVERS = 6;

    private static final int ZONES = 3;
    private static final int SLOTS = 4;
    private static final long WORK_MILLISECONDS = 20;

    /** A drained server serves on for a moment, as its last requests were sent before. */
    private static final long DRAIN_MILLISECONDS = 1_500;

    /** A server that ended under a request is away for this long. */
    private static final long AWAY_MILLISECONDS = 1_000;

    private final Path directory;
    private final StoreStandIn store = StoreStandIn.start("127.0.0.1:0");
    private final List<FaultProxy> storeLinks = new ArrayList<>();
    private final ProgramProcess[] gateways = new ProgramProcess[HOSTS];
    private final int[] ports = new int[HOSTS];
    private final UpstreamStandIn[] servers = new UpstreamStandIn[SERVERS];
    private final FaultProxy[] serverLinks = new FaultProxy[SERVERS];
    private final List<UpstreamStandIn> allServers = new CopyOnWriteArrayList<>();
    private final AtomicInteger incarnations = new AtomicInteger();
    private final AtomicInteger versions = new AtomicInteger();

    SoakWorld(Path directory) throws IOException {
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
        String identity = "i-" + server + "-" + incarnations.incrementAndGet();
        UpstreamStandIn started =
                new UpstreamStandIn(
                        identity, "desk", zone(server), SLOTS, WORK_MILLISECONDS, store);
        FaultProxy link = Cluster.proxyTo(started.address());
        started.publishAt(link.address());
        started.endOn(SoakCallers.CRASHING, AWAY_MILLISECONDS, requestId -> {});
        servers[server] = started;
        serverLinks[server] = link;
        allServers.add(started);
    }

    /** Replaces a server by a new one, after it has drained. */
    synchronized void replaceServer(int server) {
        UpstreamStandIn old = servers[server];
        FaultProxy oldLink = serverLinks[server];
        old.announce(new Header("Server-Leaving", "1"));
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
        ports[host] = Integer.parseInt(gateways[host].await("started", "caller_port"));
    }

    int callerPort(int host) {
        return ports[host];
    }

    ProgramProcess gateway(int host) {
        return gateways[host];
    }

    /** Starts a gateway again whose process has ended. */
    void restart(int host) throws IOException {
        launch(host);
        awaitStart(host);
    }

    void disturbStore(StoreFault fault) {
        store.setFault(fault);
    }

    void dropStoreHistory() {
        store.dropHistory();
    }

    void disturbStoreLink(int host, String faults) {
        post(storeLinks.get(host), faults);
    }

    void disturbServerLink(int server, String faults) {
        synchronized (serverLinks) {
            post(serverLinks[server], faults);
        }
    }

    void disturbServer(int server, UpstreamFault fault) {
        servers[server].setFault(fault);
    }

    /** Lets a server turn requests away and ask for a pause. */
    void askForPause(int server, String seconds) {
        servers[server].announce(new Header("Retry-After", seconds));
        servers[server].setFault(UpstreamFault.SHED);
    }

    void endPause(int server) {
        servers[server].announce();
        servers[server].setFault(UpstreamFault.NONE);
    }

    private static void post(FaultProxy link, String faults) {
        Cluster.post(link.controlAddress(), faults);
    }

    /** Writes a newer configuration, with one more route. */
    void configure(String prefix) {
        int version = versions.incrementAndGet();
        String extra =
                """
                {"name":"extra","prefix":"%s","kind":"safe","timeout_ms":1200,
                 "goal_latency_ms":600,"priority":2,"service":"desk","max_attempts":2},
                """
                        .formatted(prefix);
        store.put(
                "op",
                "config",
                GatewayWorld.configuration(version).replace("\"paths\":[", "\"paths\":[" + extra));
    }

    void evacuate(int zone) {
        store.put("op", "evacuate/" + zone(zone), "{}");
    }

    void takeBack(int zone) {
        store.remove("op", "evacuate/" + zone(zone));
    }

    /** Ends all faults that can be ended. */
    void heal() {
        store.setFault(StoreFault.NONE);
        storeLinks.forEach(link -> post(link, "{\"heal\": true}"));
        for (int server = 0; server < SERVERS; server++) {
            disturbServer(server, UpstreamFault.NONE);
            disturbServerLink(server, "{\"heal\": true}");
        }
        for (int zone = 0; zone < ZONES; zone++) {
            takeBack(zone);
        }
    }

    /** Counts how often each request ran, on servers that are gone too. */
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
