package org.siskinramp.host;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.log.LogEvent;
import org.siskinramp.request.Answer;
import org.siskinramp.request.RequestKey;
import org.siskinramp.request.RequestKind;
import org.siskinramp.result.Futures;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.routing.RoutingOptions;
import org.siskinramp.ticket.LocationKind;

/**
 * Runs several entry hosts in virtual time with faults drawn from a seed, and checks the
 * invariants.
 *
 * <pre>{@code
 * RandomisedRun run = new RandomisedRun(17, RandomisedRun.Options.DEFAULT);
 * List<String> violations = run.execute();
 * }</pre>
 */
public final class RandomisedRun {

    /**
     * Holds the parameters of a run.
     *
     * @param hosts how many entry hosts
     * @param servers how many backend servers
     * @param milliseconds how long load and faults last
     * @param requestsPerSecond the rate of all callers together
     * @param faults how many faults are injected
     * @param claims whether hosts know that orders are not idempotent; if not, the run must detect
     *     orders that ran twice
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

        /** Parameters with which a few hundred seeds take minutes. */
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

    private static final long RECOVERY_MILLISECONDS = 8_000;
    private static final long ANSWER_MARGIN_MILLISECONDS = 50;
    private static final long NO_NEW_WORK_AFTER_MILLISECONDS = 3_000;
    private static final double RETRY_SHARE = 0.2;

    private final long seed;
    private final Options options;
    private final VirtualDeployment deployment;
    private final List<SentRequest> sent = new ArrayList<>();
    private final FaultSchedule faults;
    private int nextRequest = 1;

    /**
     * Prepares a run.
     *
     * @param seed the seed of all random decisions
     * @param options the parameters
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
     * @return the violations of invariants, empty if there were none
     */
    public List<String> execute() {
        deployment.start();
        faults.scheduleFaults(options.faults(), options.milliseconds());
        scheduleLoad();
        checkPeriodically();
        deployment.time.advance(options.milliseconds());
        faults.endAll();
        deployment.time.advance(RECOVERY_MILLISECONDS);
        checkRecovery();
        checkRequests();
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
        if (deployment.random.nextDouble() < RETRY_SHARE) {
            deployment.time.schedule(1 + deployment.random.nextInt(1_500), () -> send(id, kind));
        }
    }

    private void send(String id, RequestKind kind) {
        List<VirtualHost> running = deployment.running();
        if (running.isEmpty()) {
            return;
        }
        VirtualHost host = running.get(deployment.random.nextInt(running.size()));
        SentRequest entry =
                new SentRequest(id, kind, host, deployment.time.monotonicMilliseconds());
        sent.add(entry);
        Futures.whenDone(
                host.entryHost().handle(deployment.request(id, kindKnownToHosts(kind), host)),
                (answer, failure) ->
                        entry.recordEnd(answer, failure, deployment.time.monotonicMilliseconds()));
    }

    private RequestKind kindKnownToHosts(RequestKind kind) {
        return options.claims()
                ? kind
                : new RequestKind(kind.name(), kind.method(), kind.pathPrefix(), true, 1);
    }

    private void checkPeriodically() {
        deployment.hosts.values().forEach(VirtualHost::checkConfiguration);
        deployment.time.schedule(100, this::checkPeriodically);
    }

    /** Checks that each host answers requests again after all faults have ended. */
    private void checkRecovery() {
        for (VirtualHost host : deployment.hosts.values()) {
            if (!host.isRunning()) {
                continue;
            }
            String id = "after-" + host.name();
            SentRequest entry =
                    new SentRequest(
                            id,
                            VirtualDeployment.ORDER,
                            host,
                            deployment.time.monotonicMilliseconds());
            Futures.whenDone(
                    host.entryHost().handle(deployment.request(id, VirtualDeployment.ORDER, host)),
                    (answer, failure) ->
                            entry.recordEnd(
                                    answer, failure, deployment.time.monotonicMilliseconds()));
            deployment.time.advance(VirtualDeployment.REQUEST_MILLISECONDS);
            if (entry.answer == null) {
                deployment.trace.violation(
                        "after the faults " + host.name() + " answers " + entry.code);
            }
        }
    }

    private void checkRequests() {
        deployment.servers.overloads().forEach(deployment.trace::violation);
        Map<String, List<SentRequest>> byId =
                sent.stream().collect(Collectors.groupingBy(entry -> entry.id));
        byId.forEach(this::checkRequest);
        faults.violations().forEach(deployment.trace::violation);
    }

    private void checkRequest(String id, List<SentRequest> copies) {
        int runs = deployment.servers.runsOf(new RequestKey("crew", id));
        SentRequest first = copies.get(0);
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

    private void checkCopy(SentRequest copy, int runs) {
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
        boolean hadFault = faults.hadFault(copy.host.name(), copy.sentAt, copy.sentAt + 5_000);
        if ((late || copy.endedAt < 0) && !hadFault) {
            deployment.trace.violation(
                    copy.id + " on " + copy.host.name() + " ended at " + copy.endedAt);
        }
    }

    /** Takes an availability zone out of service, or puts it back, through a random host. */
    void changeAvailabilityZone(String name, AdministrativeState state, Runnable accepted) {
        List<VirtualHost> running = deployment.running();
        if (running.isEmpty()) {
            return;
        }
        EntryHost host = running.get(deployment.random.nextInt(running.size())).entryHost();
        Futures.whenDone(
                host.tickets().changeLocationState(LocationKind.AVAILABILITY_ZONE, name, state),
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

    void recordFault(String event) {
        deployment.trace.add(
                deployment.time.monotonicMilliseconds(), "fault", LogEvent.named(event).toLine());
    }

    /**
     * Returns the recorded events that contain a word.
     *
     * @param word the word, such as a request's identifier
     * @return the events in chronological order
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
     * Counts the requests by result code.
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

    private static final class SentRequest {
        private final String id;
        private final RequestKind kind;
        private final VirtualHost host;
        private final long sentAt;
        private long endedAt = -1;
        private Answer answer;
        private ResultCode code;

        private SentRequest(String id, RequestKind kind, VirtualHost host, long sentAt) {
            this.id = id;
            this.kind = kind;
            this.host = host;
            this.sentAt = sentAt;
        }

        private void recordEnd(Answer result, Throwable failure, long now) {
            endedAt = now;
            answer = result;
            code = failure == null ? result.code() : ResultException.from(failure).code();
        }
    }
}
