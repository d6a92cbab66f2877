package org.siskinramp.host;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.siskinramp.configuration.ServiceState;
import org.siskinramp.log.LogEvent;
import org.siskinramp.request.Answer;
import org.siskinramp.request.RequestKey;
import org.siskinramp.request.RequestKind;
import org.siskinramp.result.Futures;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.routing.RoutingOptions;
import org.siskinramp.ticket.PlaceKind;

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
     * @param claims whether hosts know that orders are not idempotent; without that the run must
     *     find doubled orders
     * @param entryHost the options of the entry hosts
     */
    public record Options(
            int hosts,
            int servers,
            long milliseconds,
            int requestsPerSecond,
            int faults,
            boolean claims,
            EntryHostOptions entryHost) {

        /** Sizes that suit a few hundred seeds within minutes. */
        public static final Options DEFAULT =
                new Options(5, 6, 20_000, 150, 10, true, EntryHostOptions.defaults());

        Options withClaims(boolean value) {
            return new Options(
                    hosts, servers, milliseconds, requestsPerSecond, faults, value, entryHost);
        }

        Options withRouting(RoutingOptions routing) {
            EntryHostOptions changed = entryHost.withRouting(routing);
            return new Options(
                    hosts, servers, milliseconds, requestsPerSecond, faults, claims, changed);
        }
    }

    private static final long SETTLE_MILLISECONDS = 8_000;
    private static final long ANSWER_MARGIN_MILLISECONDS = 50;
    private static final long NO_NEW_WORK_AFTER_MILLISECONDS = 3_000;
    private static final double RESEND_SHARE = 0.2;

    private final long seed;
    private final Options options;
    private final VirtualDeployment deployment;
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
        deployment =
                new VirtualDeployment(
                        seed, options.hosts(), options.servers(), options.entryHost());
        faults = new FaultSchedule(this);
    }

    /**
     * Executes the run.
     *
     * @return what did not hold, empty if all did
     */
    public List<String> execute() {
        deployment.start();
        faults.draw(options.faults(), options.milliseconds());
        scheduleLoad();
        watch();
        deployment.time.advance(options.milliseconds());
        faults.heal();
        deployment.time.advance(SETTLE_MILLISECONDS);
        checkService();
        check();
        return deployment.trace.violations();
    }

    private void scheduleLoad() {
        double gap = 1_000.0 / options.requestsPerSecond();
        for (double at = 0; at < options.milliseconds(); at += gap) {
            deployment.time.schedule((long) at, this::sendRandom);
        }
    }

    private void sendRandom() {
        RequestKind kind =
                deployment.random.nextDouble() < 0.5
                        ? VirtualDeployment.READ
                        : VirtualDeployment.ORDER;
        String id = "r" + nextRequest++;
        send(id, kind);
        if (deployment.random.nextDouble() < RESEND_SHARE) {
            deployment.time.schedule(1 + deployment.random.nextInt(1_500), () -> send(id, kind));
        }
    }

    private void send(String id, RequestKind kind) {
        List<VirtualHost> running = deployment.running();
        if (running.isEmpty()) {
            return;
        }
        VirtualHost host = running.get(deployment.random.nextInt(running.size()));
        Sent entry = new Sent(id, kind, host, deployment.time.monotonicMilliseconds());
        sent.add(entry);
        Futures.whenDone(
                host.entryHost().handle(deployment.request(id, known(kind), host)),
                (answer, failure) ->
                        entry.end(answer, failure, deployment.time.monotonicMilliseconds()));
    }

    private RequestKind known(RequestKind kind) {
        return options.claims()
                ? kind
                : new RequestKind(kind.name(), kind.method(), kind.pathPrefix(), true, 1);
    }

    private void watch() {
        deployment.hosts.values().forEach(VirtualHost::checkConfiguration);
        deployment.time.schedule(100, this::watch);
    }

    /** After all faults have ended, each host serves again. */
    private void checkService() {
        for (VirtualHost host : deployment.hosts.values()) {
            if (!host.isRunning()) {
                continue;
            }
            String id = "after-" + host.name();
            Sent entry =
                    new Sent(
                            id,
                            VirtualDeployment.ORDER,
                            host,
                            deployment.time.monotonicMilliseconds());
            Futures.whenDone(
                    host.entryHost().handle(deployment.request(id, VirtualDeployment.ORDER, host)),
                    (answer, failure) ->
                            entry.end(answer, failure, deployment.time.monotonicMilliseconds()));
            deployment.time.advance(VirtualDeployment.REQUEST_MILLISECONDS);
            if (entry.answer == null) {
                deployment.trace.violation(
                        "after the faults " + host.name() + " answers " + entry.code);
            }
        }
    }

    private void check() {
        deployment.servers.overloads().forEach(deployment.trace::violation);
        Map<String, List<Sent>> byId =
                sent.stream().collect(Collectors.groupingBy(entry -> entry.id));
        byId.forEach(this::checkRequest);
        faults.violations().forEach(deployment.trace::violation);
    }

    private void checkRequest(String id, List<Sent> copies) {
        int runs = deployment.servers.runsOf(new RequestKey("crew", id));
        Sent first = copies.get(0);
        if (!first.kind.idempotent() && runs > 1) {
            deployment.trace.violation(id + " ran " + runs + " times");
        }
        boolean refusedForSure =
                copies.stream()
                        .allMatch(
                                copy ->
                                        copy.code != null
                                                && copy.code.isNotRun()
                                                && copy.code != ResultCode.IN_PROGRESS);
        if (refusedForSure && runs > 0) {
            deployment.trace.violation(id + " was refused as not run and ran " + runs + " times");
        }
        copies.forEach(copy -> checkCopy(copy, runs));
    }

    private void checkCopy(Sent copy, int runs) {
        if (copy.answer != null) {
            String body = new String(copy.answer.body(), StandardCharsets.UTF_8);
            if (!body.equals("crew/" + copy.id)) {
                deployment.trace.violation(copy.id + " was given the answer of " + body);
            }
            if (runs == 0) {
                deployment.trace.violation(copy.id + " was answered without a run");
            }
        }
        boolean late =
                copy.endedAt
                        > copy.sentAt
                                + VirtualDeployment.REQUEST_MILLISECONDS
                                + ANSWER_MARGIN_MILLISECONDS;
        boolean disturbed = faults.disturbed(copy.host.name(), copy.sentAt, copy.sentAt + 5_000);
        if ((late || copy.endedAt < 0) && !disturbed) {
            deployment.trace.violation(
                    copy.id + " on " + copy.host.name() + " ended at " + copy.endedAt);
        }
    }

    /** Takes an availability zone out or brings it back through a random host. */
    void changeAvailabilityZone(String name, ServiceState state, Runnable accepted) {
        List<VirtualHost> running = deployment.running();
        if (running.isEmpty()) {
            return;
        }
        EntryHost host = running.get(deployment.random.nextInt(running.size())).entryHost();
        Futures.whenDone(
                host.tickets().changePlace(PlaceKind.AVAILABILITY_ZONE, name, state),
                (receipt, failure) -> {
                    if (failure == null) {
                        host.announceConfiguration(receipt.version());
                        accepted.run();
                    }
                });
    }

    long noNewWorkAfterMilliseconds() {
        return NO_NEW_WORK_AFTER_MILLISECONDS;
    }

    VirtualDeployment deployment() {
        return deployment;
    }

    void note(String event) {
        deployment.trace.add(
                deployment.time.monotonicMilliseconds(), "fault", LogEvent.named(event).toLine());
    }

    /**
     * Lists the kept events that mention a word.
     *
     * @param word the word, such as a request's identifier
     * @return the events in order of time
     */
    public List<String> eventsWith(String word) {
        return deployment.trace.eventsWith(word);
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
