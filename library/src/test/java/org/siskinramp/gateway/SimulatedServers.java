package org.siskinramp.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.siskinramp.attempt.Attempt;
import org.siskinramp.attempt.AttemptAnswer;
import org.siskinramp.attempt.AttemptException;
import org.siskinramp.attempt.AttemptFailure;
import org.siskinramp.attempt.BackendServerLink;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.fleet.ServerEntry;
import org.siskinramp.request.Answer;
import org.siskinramp.result.ResultCode;
import org.siskinramp.time.VirtualTime;

/**
 * Simulates backend servers with slots, a short queue, a variable service time that rises when they
 * are nearly full, and a cold start.
 */
final class SimulatedServers implements BackendServerLink {

    static final int USUAL_SERVICE_TIME_PERCENT = 100;

    private static final long ONE_WAY_LATENCY_MILLISECONDS = 1;
    private static final int QUEUE_CAPACITY = 8;
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;

    /** How a crashed server appears to others. */
    enum CrashSymptom {
        REFUSES,
        CUTS,
        SILENT
    }

    /** How a server handles requests. */
    enum Behaviour {
        ANSWER,
        REFUSE_CONNECTIONS,
        SHED,
        LOSE_ANSWERS,
        FAIL,
        HANG
    }

    private final VirtualTime time;
    private final UniformRandomProvider random;
    private final Map<String, SimulatedServer> servers = new LinkedHashMap<>();
    private final Map<Long, CompletableFuture<AttemptAnswer>> pendingAnswers = new HashMap<>();
    private final List<Long> cancelled = new ArrayList<>();
    private int probes;

    SimulatedServers(VirtualTime time, long seed) {
        this.time = time;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    SimulatedServer add(String name, String zone, int slots, long serviceTimeMilliseconds) {
        SimulatedServer server = new SimulatedServer(name, zone, slots, serviceTimeMilliseconds);
        servers.put(name, server);
        return server;
    }

    SimulatedServer server(String name) {
        return servers.get(name);
    }

    List<SimulatedServer> all() {
        return List.copyOf(servers.values());
    }

    int probes() {
        return probes;
    }

    List<Long> cancelled() {
        return cancelled;
    }

    /** Selects every 150 ms at random the share of servers that are five times slower. */
    void redrawServiceTimes(double share) {
        for (SimulatedServer server : servers.values()) {
            server.serviceTimePercent =
                    random.nextDouble() < share
                            ? 5 * USUAL_SERVICE_TIME_PERCENT
                            : USUAL_SERVICE_TIME_PERCENT;
        }
        time.schedule(150, () -> redrawServiceTimes(share));
    }

    @Override
    public CompletableFuture<AttemptAnswer> dispatch(Attempt attempt) {
        CompletableFuture<AttemptAnswer> answer = new CompletableFuture<>();
        pendingAnswers.put(attempt.number(), answer);
        SimulatedServer server = servers.get(attempt.backendServer().name());
        time.schedule(
                ONE_WAY_LATENCY_MILLISECONDS + server.connectMilliseconds,
                () -> server.receive(attempt, answer));
        return answer;
    }

    @Override
    public void cancel(long attemptNumber) {
        cancelled.add(attemptNumber);
        CompletableFuture<AttemptAnswer> answer = pendingAnswers.get(attemptNumber);
        if (answer != null) {
            answer.completeExceptionally(
                    new AttemptException(AttemptFailure.CANCELLED, LoadReport.NONE, "test"));
        }
    }

    @Override
    public CompletableFuture<LoadReport> probe(BackendServer server) {
        probes++;
        CompletableFuture<LoadReport> report = new CompletableFuture<>();
        SimulatedServer target = servers.get(server.name());
        time.schedule(
                2 * ONE_WAY_LATENCY_MILLISECONDS,
                () -> {
                    target.probesReceived++;
                    if (target.down) {
                        report.completeExceptionally(target.failure(target.probeFailure()));
                    } else if (target.behaviour == Behaviour.REFUSE_CONNECTIONS) {
                        report.completeExceptionally(
                                target.failure(AttemptFailure.CONNECTION_REFUSED));
                    } else {
                        report.complete(
                                target.rateLimitInProbes
                                        ? target.report()
                                        : target.report().withRateLimit(LoadReport.NO_RATE_LIMIT));
                    }
                });
        return report;
    }

    /** One simulated server. */
    final class SimulatedServer {

        private final String name;
        private final String zone;
        private final int slots;
        private final long serviceTimeMilliseconds;
        private final Deque<Runnable> waiting = new ArrayDeque<>();
        private final List<Long> arrivals = new ArrayList<>();
        private int running;
        private int maximumOccupied;
        private int resetCapacity = Integer.MAX_VALUE;
        private int resets;
        private int runs;
        private int serviceTimePercent = USUAL_SERVICE_TIME_PERCENT;
        private double saturatedLatencyFactor = 1;
        private long coldUntil;
        private boolean leaving;
        private boolean departing;
        private long pauseMilliseconds = LoadReport.UNKNOWN;
        private double rateLimitPerSecond = LoadReport.NO_RATE_LIMIT;
        private boolean rateLimitInProbes = true;
        private long connectMilliseconds;
        private final List<Long> received = new ArrayList<>();
        private int probesReceived;
        private final Map<Long, CompletableFuture<AttemptAnswer>> inProgress =
                new LinkedHashMap<>();
        private String crashingContent = "none";
        private int startCount = 1;
        private boolean down;
        private CrashSymptom crashSymptom = CrashSymptom.REFUSES;
        private Behaviour behaviour = Behaviour.ANSWER;

        private SimulatedServer(String name, String zone, int slots, long serviceTimeMilliseconds) {
            this.name = name;
            this.zone = zone;
            this.slots = slots;
            this.serviceTimeMilliseconds = serviceTimeMilliseconds;
        }

        String name() {
            return name;
        }

        ServerEntry entry() {
            BackendServer server =
                    new BackendServer(
                            name,
                            "s",
                            "10.0.0.1",
                            zone,
                            "10.0.0.1:80",
                            slots,
                            1,
                            AdministrativeState.IN);
            return new ServerEntry(
                    server,
                    leaving,
                    Math.max(0, coldUntil - time.monotonicMilliseconds()),
                    startCount,
                    1);
        }

        SimulatedServer withBehaviour(Behaviour value) {
            behaviour = value;
            return this;
        }

        SimulatedServer withServiceTimePercent(int value) {
            serviceTimePercent = value;
            return this;
        }

        SimulatedServer withSaturatedLatencyFactor(double factor) {
            saturatedLatencyFactor = factor;
            return this;
        }

        /** Resets the connection of a request that arrives while this many are running. */
        SimulatedServer withResetCapacity(int requests) {
            resetCapacity = requests;
            return this;
        }

        int resets() {
            return resets;
        }

        SimulatedServer coldFor(long milliseconds) {
            coldUntil = time.monotonicMilliseconds() + milliseconds;
            return this;
        }

        SimulatedServer leave() {
            leaving = true;
            return this;
        }

        /** Announces the shutdown in each answer. */
        SimulatedServer announceShutdown() {
            departing = true;
            return this;
        }

        /** Sheds requests and requests a pause of this length, or ends that if it is -1. */
        SimulatedServer requestPause(long milliseconds) {
            pauseMilliseconds = milliseconds;
            behaviour = milliseconds > 0 ? Behaviour.SHED : Behaviour.ANSWER;
            return this;
        }

        /** Announces a rate limit in each answer; an infinite one ends it. */
        SimulatedServer limitRate(double requestsPerSecond) {
            rateLimitPerSecond = requestsPerSecond;
            return this;
        }

        /** Announces the rate limit in answers to requests only. */
        SimulatedServer limitRateInAnswersOnly() {
            rateLimitInProbes = false;
            return this;
        }

        /** Sets how long it takes to connect for a request. */
        SimulatedServer withConnectTime(long milliseconds) {
            connectMilliseconds = milliseconds;
            return this;
        }

        /** Returns when requests reached the server, whether it accepted them or not. */
        List<Long> received() {
            return received;
        }

        /** Returns the number of probes that reached the server. */
        int probesReceived() {
            return probesReceived;
        }

        /**
         * Reports unhealthy or healthy in load reports only; the published entry stays the same.
         */
        SimulatedServer reportUnhealthy(boolean unhealthy) {
            leaving = unhealthy;
            return this;
        }

        /** Crashes on each request whose content starts with this prefix. */
        SimulatedServer crashOn(String content) {
            crashingContent = content;
            return this;
        }

        /** Sets how the server appears to others after a crash. */
        SimulatedServer withCrashSymptom(CrashSymptom value) {
            crashSymptom = value;
            return this;
        }

        private AttemptFailure probeFailure() {
            return switch (crashSymptom) {
                case REFUSES -> AttemptFailure.CONNECTION_REFUSED;
                case CUTS -> AttemptFailure.CONNECTION_BROKEN;
                case SILENT -> AttemptFailure.TIMED_OUT;
            };
        }

        /** Crashes: connections break, and none is accepted until the restart. */
        void crash() {
            down = true;
            running = 0;
            waiting.clear();
            List<CompletableFuture<AttemptAnswer>> broken = List.copyOf(inProgress.values());
            inProgress.clear();
            if (crashSymptom == CrashSymptom.SILENT) {
                return;
            }
            broken.forEach(
                    answer ->
                            answer.completeExceptionally(
                                    failure(AttemptFailure.CONNECTION_BROKEN)));
        }

        void crashIfUp() {
            if (!down) {
                crash();
            }
        }

        /** Restarts the server under the same name. */
        void restart() {
            down = false;
            departing = false;
            startCount++;
        }

        boolean isDown() {
            return down;
        }

        int runs() {
            return runs;
        }

        int running() {
            return running;
        }

        /** Returns the number of accepted requests that arrived after a time. */
        int arrivalsAfter(long milliseconds) {
            return (int) arrivals.stream().filter(at -> at > milliseconds).count();
        }

        int maximumOccupied() {
            return maximumOccupied;
        }

        /** Returns the largest number of requests that arrived within one second. */
        int maximumArrivalsInOneSecond() {
            int maximumArrivals = 0;
            for (long from : arrivals) {
                maximumArrivals =
                        Math.max(
                                maximumArrivals,
                                (int)
                                        arrivals.stream()
                                                .filter(at -> at >= from && at < from + 1_000)
                                                .count());
            }
            return maximumArrivals;
        }

        private AttemptException failure(AttemptFailure failure) {
            return new AttemptException(failure, LoadReport.NONE, name);
        }

        private LoadReport report() {
            return new LoadReport(
                            name,
                            running,
                            leaving,
                            waiting.size(),
                            serviceTimePercent,
                            Math.max(0, coldUntil - time.monotonicMilliseconds()))
                    .withAnnouncement(departing, pauseMilliseconds)
                    .withRateLimit(rateLimitPerSecond);
        }

        private void receive(Attempt attempt, CompletableFuture<AttemptAnswer> answer) {
            if (!attempt.isPermitted()) {
                answer.completeExceptionally(failure(AttemptFailure.NOT_PERMITTED));
                return;
            }
            received.add(time.monotonicMilliseconds());
            if (down && crashSymptom == CrashSymptom.CUTS) {
                answer.completeExceptionally(failure(AttemptFailure.CONNECTION_BROKEN));
            } else if (down || behaviour == Behaviour.REFUSE_CONNECTIONS) {
                answer.completeExceptionally(failure(AttemptFailure.CONNECTION_REFUSED));
            } else if (running >= resetCapacity) {
                resets++;
                answer.completeExceptionally(failure(AttemptFailure.CONNECTION_BROKEN));
            } else if (behaviour == Behaviour.SHED
                    || (running >= slots && waiting.size() >= QUEUE_CAPACITY)) {
                answer.completeExceptionally(
                        new AttemptException(AttemptFailure.SHED, report(), name));
            } else {
                arrivals.add(time.monotonicMilliseconds());
                inProgress.put(attempt.number(), answer);
                if (crashSymptom == CrashSymptom.SILENT) {
                    timeOut(attempt, answer);
                }
                if (attempt.request().contentHash().startsWith(crashingContent)) {
                    runs++;
                    crash();
                } else if (running < slots) {
                    run(attempt.number(), answer);
                } else {
                    waiting.add(() -> run(attempt.number(), answer));
                }
                maximumOccupied = Math.max(maximumOccupied, running + waiting.size());
            }
        }

        private void timeOut(Attempt attempt, CompletableFuture<AttemptAnswer> answer) {
            time.schedule(
                    Math.max(0, attempt.deadlineMilliseconds() - time.monotonicMilliseconds()),
                    () -> answer.completeExceptionally(failure(AttemptFailure.TIMED_OUT)));
        }

        private void run(long attempt, CompletableFuture<AttemptAnswer> answer) {
            running++;
            runs++;
            double variation = 0.7 + 0.6 * random.nextDouble();
            double saturation = running > 0.8 * slots ? saturatedLatencyFactor : 1;
            long durationMilliseconds =
                    Math.round(
                            serviceTimeMilliseconds
                                    * variation
                                    * saturation
                                    * serviceTimePercent
                                    / USUAL_SERVICE_TIME_PERCENT);
            time.schedule(durationMilliseconds, () -> finish(attempt, answer));
        }

        private void finish(long attempt, CompletableFuture<AttemptAnswer> answer) {
            if (inProgress.remove(attempt) == null) {
                return;
            }
            running--;
            if (!waiting.isEmpty()) {
                waiting.removeFirst().run();
            }
            switch (behaviour) {
                case LOSE_ANSWERS ->
                        answer.completeExceptionally(failure(AttemptFailure.CONNECTION_BROKEN));
                case HANG -> {
                    // The answer never comes.
                }
                default -> {
                    int status = behaviour == Behaviour.FAIL ? SERVER_ERROR : OK;
                    Answer complete =
                            new Answer(ResultCode.ANSWERED, status, List.of(), new byte[0]);
                    answer.complete(new AttemptAnswer(complete, report()));
                }
            }
        }
    }
}
