package org.siskinramp.host;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.siskinramp.configuration.ServiceState;
import org.siskinramp.log.LogEvent;
import org.siskinramp.platform.FakePlatform;
import org.siskinramp.platform.ListedHost;
import org.siskinramp.request.Answer;
import org.siskinramp.request.Request;
import org.siskinramp.request.RequestKey;
import org.siskinramp.request.RequestKind;
import org.siskinramp.result.Futures;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.routing.FakeServers;
import org.siskinramp.ticket.PlaceKind;
import org.siskinramp.time.VirtualTime;

/**
 * Runs several entry hosts under virtual time with seeded faults, and checks what must always hold.
 *
 * <pre>{@code
 * RandomisedRun run = new RandomisedRun(17, RandomisedRun.Options.DEFAULT);
 * List<String> violations = run.execute();
 * }</pre>
 */
public final class RandomisedRun {

    /**
     * Holds the sizes of a run.
     *
     * @param hosts how many entry hosts
     * @param servers how many backend servers
     * @param milliseconds how long load and faults last
     * @param requestsPerSecond the rate of all callers together
     * @param faults how many faults are drawn
     * @param entryHost the options of the entry hosts
     */
    public record Options(
            int hosts,
            int servers,
            long milliseconds,
            int requestsPerSecond,
            int faults,
            EntryHostOptions entryHost) {

        /** Sizes that suit a few hundred seeds within minutes. */
        public static final Options DEFAULT =
                new Options(5, 6, 20_000, 150, 10, EntryHostOptions.defaults());
    }

    private static final RequestKind READ = new RequestKind("read", "GET", "/work", true, 1);
    private static final RequestKind ORDER = new RequestKind("order", "POST", "/work", false, 3);
    private static final int SLOTS = 4;
    private static final int ANSWERS_UNTIL_WARM = 20;
    private static final long SETTLE_MILLISECONDS = 8_000;
    private static final long REQUEST_MILLISECONDS = 1_000;
    private static final long ANSWER_MARGIN_MILLISECONDS = 50;
    private static final long NO_NEW_WORK_AFTER_MILLISECONDS = 3_000;
    private static final double RESEND_SHARE = 0.2;

    private final long seed;
    private final Options options;
    private final VirtualTime time = new VirtualTime();
    private final UniformRandomProvider random;
    private final RunTrace trace = new RunTrace();
    private final VirtualNetwork network;
    private final FakePlatform platform;
    private final FakeServers servers;
    private final Map<String, VirtualHost> hosts = new LinkedHashMap<>();
    private final List<Sent> sent = new ArrayList<>();
    private final FaultSchedule faults;
    private int nextRequest = 1;

    /**
     * Prepares a run.
     *
     * @param seed decides everything that is random
     * @param options the sizes
     */
    public RandomisedRun(long seed, Options options) {
        this.seed = seed;
        this.options = options;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        network = new VirtualNetwork(time, random);
        platform = new FakePlatform(time);
        servers =
                new FakeServers(
                        time, () -> Math.round(-15 * Math.log(1 - random.nextDouble())) + 1);
        faults = new FaultSchedule(this);
    }

    /**
     * Executes the run.
     *
     * @return what did not hold, empty if all did
     */
    public List<String> execute() {
        addServers();
        addHosts();
        hosts.values().forEach(VirtualHost::start);
        time.advance(4_000);
        fileFirstTicket();
        time.advance(4_000);
        faults.draw(options.faults(), options.milliseconds());
        scheduleLoad();
        watch();
        time.advance(options.milliseconds());
        faults.heal();
        time.advance(SETTLE_MILLISECONDS);
        checkService();
        check();
        return trace.violations();
    }

    private void addServers() {
        for (int index = 1; index <= options.servers(); index++) {
            servers.add("server-" + index, SLOTS);
            servers.server("server-" + index).bearsWhenCold(1, ANSWERS_UNTIL_WARM);
        }
    }

    private void addHosts() {
        List<ListedHost> listed =
                IntStream.rangeClosed(1, options.hosts())
                        .mapToObj(
                                index ->
                                        new ListedHost(
                                                "entry-" + index,
                                                "zone-" + (index % 3 + 1),
                                                "10.0.0." + index + ":7000",
                                                false))
                        .toList();
        platform.setHosts(listed);
        for (ListedHost host : listed) {
            VirtualHost virtual =
                    new VirtualHost(
                            time,
                            host,
                            network,
                            platform,
                            servers,
                            random,
                            trace,
                            options.entryHost());
            hosts.put(host.name(), virtual);
            network.add(virtual);
        }
    }

    private void fileFirstTicket() {
        String backendServers =
                IntStream.rangeClosed(1, options.servers())
                        .mapToObj(
                                index ->
                                        "{\"name\":\"server-%d\",\"service\":\"work\",\"host\":\"machine-%d\",\"availability_zone\":\"zone-%d\",\"address\":\"10.1.0.%d:80\",\"slots\":%d,\"cold_slots\":1}"
                                                .formatted(
                                                        index, index, index % 3 + 1, index, SLOTS))
                        .collect(Collectors.joining(","));
        String ticket =
                "{\"number\":1,\"services\":[{\"name\":\"work\",\"path_prefix\":\"/work\",\"time_limit_ms\":1000,\"kinds\":[]}],\"backend_servers\":["
                        + backendServers
                        + "]}";
        Futures.whenDone(
                hosts.get("entry-1").entryHost().tickets().file(ticket),
                (receipt, failure) -> {
                    if (failure != null) {
                        trace.violation("first ticket refused: " + failure);
                    }
                });
    }

    private void scheduleLoad() {
        double gap = 1_000.0 / options.requestsPerSecond();
        for (double at = 0; at < options.milliseconds(); at += gap) {
            time.schedule((long) at, this::sendRandom);
        }
    }

    private void sendRandom() {
        RequestKind kind = random.nextDouble() < 0.5 ? READ : ORDER;
        String id = "r" + nextRequest++;
        send(id, kind);
        if (random.nextDouble() < RESEND_SHARE) {
            time.schedule(1 + random.nextInt(1_500), () -> send(id, kind));
        }
    }

    private void send(String id, RequestKind kind) {
        List<VirtualHost> running = hosts.values().stream().filter(VirtualHost::isRunning).toList();
        if (running.isEmpty()) {
            return;
        }
        VirtualHost host = running.get(random.nextInt(running.size()));
        host.entryHost().holdings();
        Sent entry = new Sent(id, kind, host, time.monotonicMilliseconds());
        sent.add(entry);
        Futures.whenDone(
                host.entryHost().handle(request(id, kind, host)),
                (answer, failure) -> entry.end(answer, failure, time.monotonicMilliseconds()));
    }

    private Request request(String id, RequestKind kind, VirtualHost host) {
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

    private void watch() {
        hosts.values().forEach(VirtualHost::checkConfiguration);
        time.schedule(100, this::watch);
    }

    /** After all faults have ended, each host serves again. */
    private void checkService() {
        for (VirtualHost host : hosts.values()) {
            if (!host.isRunning()) {
                continue;
            }
            String id = "after-" + host.name();
            Sent entry = new Sent(id, ORDER, host, time.monotonicMilliseconds());
            Futures.whenDone(
                    host.entryHost().handle(request(id, ORDER, host)),
                    (answer, failure) -> entry.end(answer, failure, time.monotonicMilliseconds()));
            time.advance(REQUEST_MILLISECONDS);
            if (entry.answer == null) {
                trace.violation("after the faults " + host.name() + " answers " + entry.code);
            }
        }
    }

    private void check() {
        servers.overloads().forEach(trace::violation);
        Map<String, List<Sent>> byId =
                sent.stream().collect(Collectors.groupingBy(entry -> entry.id));
        byId.forEach(this::checkRequest);
        faults.violations().forEach(trace::violation);
    }

    private void checkRequest(String id, List<Sent> copies) {
        int runs = servers.runsOf(new RequestKey("crew", id));
        Sent first = copies.get(0);
        if (!first.kind.idempotent() && runs > 1) {
            trace.violation(id + " ran " + runs + " times");
        }
        boolean refusedForSure =
                copies.stream()
                        .allMatch(
                                copy ->
                                        copy.code != null
                                                && copy.code.isNotRun()
                                                && copy.code != ResultCode.IN_PROGRESS);
        if (refusedForSure && runs > 0) {
            trace.violation(id + " was refused as not run and ran " + runs + " times");
        }
        copies.forEach(copy -> checkCopy(copy, runs));
    }

    private void checkCopy(Sent copy, int runs) {
        if (copy.answer != null) {
            String body = new String(copy.answer.body(), StandardCharsets.UTF_8);
            if (!body.equals("crew/" + copy.id)) {
                trace.violation(copy.id + " was given the answer of " + body);
            }
            if (runs == 0) {
                trace.violation(copy.id + " was answered without a run");
            }
        }
        boolean late =
                copy.endedAt > copy.sentAt + REQUEST_MILLISECONDS + ANSWER_MARGIN_MILLISECONDS;
        boolean disturbed = faults.disturbed(copy.host.name(), copy.sentAt, copy.sentAt + 5_000);
        if ((late || copy.endedAt < 0) && !disturbed) {
            trace.violation(copy.id + " on " + copy.host.name() + " ended at " + copy.endedAt);
        }
    }

    /** Takes an availability zone out or brings it back through a random host. */
    void changeAvailabilityZone(String name, ServiceState state, Runnable accepted) {
        List<VirtualHost> running = hosts.values().stream().filter(VirtualHost::isRunning).toList();
        if (running.isEmpty()) {
            return;
        }
        EntryHost host = running.get(random.nextInt(running.size())).entryHost();
        Futures.whenDone(
                host.tickets().changePlace(PlaceKind.AVAILABILITY_ZONE, name, state),
                (receipt, failure) -> {
                    if (failure == null) {
                        host.announceConfiguration(receipt.version());
                        accepted.run();
                    }
                });
    }

    List<String> serversOf(String availabilityZone) {
        return IntStream.rangeClosed(1, options.servers())
                .filter(index -> availabilityZone.equals("zone-" + (index % 3 + 1)))
                .mapToObj(index -> "server-" + index)
                .toList();
    }

    long noNewWorkAfterMilliseconds() {
        return NO_NEW_WORK_AFTER_MILLISECONDS;
    }

    VirtualTime time() {
        return time;
    }

    UniformRandomProvider random() {
        return random;
    }

    VirtualNetwork network() {
        return network;
    }

    FakePlatform platform() {
        return platform;
    }

    FakeServers servers() {
        return servers;
    }

    List<VirtualHost> hosts() {
        return List.copyOf(hosts.values());
    }

    void note(String event) {
        trace.add(time.monotonicMilliseconds(), "fault", LogEvent.named(event).toLine());
    }

    /**
     * Lists the kept events that mention a word.
     *
     * @param word the word, such as a request's identifier
     * @return the events in order of time
     */
    public List<String> eventsWith(String word) {
        return trace.eventsWith(word);
    }

    /**
     * Returns the seed.
     *
     * @return the seed
     */
    public long seed() {
        return seed;
    }

    /**
     * Sums the ends of all requests by result code.
     *
     * @return one line
     */
    public String summary() {
        Map<String, Long> counts =
                sent.stream()
                        .collect(
                                Collectors.groupingBy(
                                        entry -> String.valueOf(entry.code),
                                        Collectors.counting()));
        return "sent=" + sent.size() + " " + counts;
    }

    private static final class Sent {
        private final String id;
        private final RequestKind kind;
        private final VirtualHost host;
        private final long sentAt;
        private long endedAt = -1;
        private Answer answer;
        private ResultCode code;

        private Sent(String id, RequestKind kind, VirtualHost host, long sentAt) {
            this.id = id;
            this.kind = kind;
            this.host = host;
            this.sentAt = sentAt;
        }

        private void end(Answer result, Throwable failure, long now) {
            endedAt = now;
            answer = result;
            code = failure == null ? result.code() : ResultException.from(failure).code();
        }
    }
}
