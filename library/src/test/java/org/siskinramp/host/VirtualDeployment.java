package org.siskinramp.host;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.siskinramp.platform.FakePlatform;
import org.siskinramp.platform.ListedHost;
import org.siskinramp.request.Request;
import org.siskinramp.request.RequestKey;
import org.siskinramp.request.RequestKind;
import org.siskinramp.result.Futures;
import org.siskinramp.routing.FakeServers;
import org.siskinramp.time.VirtualTime;

/** Simulates entry hosts, backend servers, a network and the platform in virtual time. */
final class VirtualDeployment {

    static final RequestKind READ = new RequestKind("read", "GET", "/work", true, 1);
    static final RequestKind ORDER = new RequestKind("order", "POST", "/work", false, 3);
    static final long REQUEST_MILLISECONDS = 1_000;

    private static final int AVAILABILITY_ZONES = 3;
    private static final int SLOTS = 4;
    private static final int ANSWERS_UNTIL_WARM = 20;
    private static final long START_MILLISECONDS = 4_000;
    private static final double MEAN_WORK_MILLISECONDS = 15;

    final VirtualTime time = new VirtualTime();
    final RunTrace trace = new RunTrace();
    final UniformRandomProvider random;
    final VirtualNetwork network;
    final FakePlatform platform;
    final FakeServers servers;
    final Map<String, VirtualHost> hosts = new LinkedHashMap<>();
    private final int serverCount;

    VirtualDeployment(long seed, int hostCount, int serverCount, EntryHostOptions options) {
        this.serverCount = serverCount;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        network = new VirtualNetwork(time, random);
        platform = new FakePlatform(time);
        servers = new FakeServers(time, this::workMilliseconds);
        addServers();
        addHosts(hostCount, options);
    }

    private long workMilliseconds() {
        return Math.round(-MEAN_WORK_MILLISECONDS * Math.log(1 - random.nextDouble())) + 1;
    }

    private void addServers() {
        for (int index = 1; index <= serverCount; index++) {
            servers.add("server-" + index, SLOTS);
            servers.server("server-" + index).limitWhenCold(1, ANSWERS_UNTIL_WARM);
        }
    }

    private void addHosts(int count, EntryHostOptions options) {
        List<ListedHost> listed =
                IntStream.rangeClosed(1, count)
                        .mapToObj(
                                index ->
                                        new ListedHost(
                                                "entry-" + index,
                                                zoneOf(index),
                                                "10.0.0." + index + ":7000",
                                                false))
                        .toList();
        platform.setHosts(listed);
        for (ListedHost host : listed) {
            VirtualHost virtual =
                    new VirtualHost(time, host, network, platform, servers, random, trace, options);
            hosts.put(host.name(), virtual);
            network.add(virtual);
        }
    }

    private static String zoneOf(int index) {
        return "zone-" + (index % AVAILABILITY_ZONES + 1);
    }

    /**
     * Starts all hosts, files the first ticket, and advances the time until the hosts can accept
     * requests.
     */
    void start() {
        hosts.values().forEach(VirtualHost::start);
        time.advance(START_MILLISECONDS);
        Futures.whenDone(
                hosts.get("entry-1").entryHost().tickets().file(firstTicket()),
                (receipt, failure) -> {
                    if (failure != null) {
                        trace.violation("first ticket refused: " + failure);
                    }
                });
        time.advance(START_MILLISECONDS);
    }

    private String firstTicket() {
        String backendServers =
                IntStream.rangeClosed(1, serverCount)
                        .mapToObj(VirtualDeployment::serverJson)
                        .collect(Collectors.joining(","));
        return """
                {"number":1,"services":[{"name":"work","path_prefix":"/work",\
                "time_limit_ms":1000,"kinds":[]}],"backend_servers":[%s]}"""
                .formatted(backendServers);
    }

    private static String serverJson(int index) {
        return """
                {"name":"server-%d","service":"work","host":"machine-%d",\
                "availability_zone":"%s","address":"10.1.0.%d:80","slots":%d,"cold_slots":1}"""
                .formatted(index, index, zoneOf(index), index, SLOTS);
    }

    List<VirtualHost> running() {
        return hosts.values().stream().filter(VirtualHost::isRunning).toList();
    }

    List<String> serversOf(String availabilityZone) {
        return IntStream.rangeClosed(1, serverCount)
                .filter(index -> availabilityZone.equals(zoneOf(index)))
                .mapToObj(index -> "server-" + index)
                .toList();
    }

    /** Creates a request whose deadline is in {@link #REQUEST_MILLISECONDS}. */
    Request request(String id, RequestKind kind, VirtualHost host) {
        long now = host.clock().monotonicMilliseconds();
        return Request.builder()
                .key(new RequestKey("crew", id))
                .service("work")
                .kind(kind)
                .method(kind.method())
                .target("/work/" + id)
                .contentHash("hash-" + id)
                .arrivedMilliseconds(now)
                .deadlineMilliseconds(now + REQUEST_MILLISECONDS)
                .build();
    }
}
