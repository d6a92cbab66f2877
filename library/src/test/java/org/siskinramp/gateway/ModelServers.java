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
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.configuration.ServiceState;
import org.siskinramp.fleet.ServerEntry;
import org.siskinramp.request.Answer;
import org.siskinramp.result.ResultCode;
import org.siskinramp.time.VirtualTime;

/** Models backend servers with slots, a short queue, pace, a knee and a cold start. */
final class ModelServers implements BackendServerLink {

    static final int USUAL_PACE = 100;

    private static final long WAY_MILLISECONDS = 1;
    private static final int QUEUE = 8;
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;

    /** What others see of a server that has ended. */
    enum End {
        REFUSES,
        CUTS,
        SILENT
    }

    /** What a server does with the requests that it gets. */
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
    private final Map<String, Model> models = new LinkedHashMap<>();
    private final Map<Long, CompletableFuture<AttemptAnswer>> open = new HashMap<>();
    private final List<Long> cancelled = new ArrayList<>();
    private int probes;

    ModelServers(VirtualTime time, long seed) {
        this.time = time;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    Model add(String name, String zone, int slots, long workMilliseconds) {
        Model model = new Model(name, zone, slots, workMilliseconds);
        models.put(name, model);
        return model;
    }

    Model model(String name) {
        return models.get(name);
    }

    List<Model> all() {
        return List.copyOf(models.values());
    }

    int probes() {
        return probes;
    }

    List<Long> cancelled() {
        return cancelled;
    }

    /** Redraws every 150 ms which servers are five times slower. */
    void shiftPace(double share) {
        for (Model model : models.values()) {
            model.pace = random.nextDouble() < share ? 5 * USUAL_PACE : USUAL_PACE;
        }
        time.schedule(150, () -> shiftPace(share));
    }

    @Override
    public CompletableFuture<AttemptAnswer> dispatch(Attempt attempt) {
        CompletableFuture<AttemptAnswer> answer = new CompletableFuture<>();
        open.put(attempt.number(), answer);
        Model model = models.get(attempt.backendServer().name());
        time.schedule(WAY_MILLISECONDS, () -> model.arrive(attempt, answer));
        return answer;
    }

    @Override
    public void cancel(long attemptNumber) {
        cancelled.add(attemptNumber);
        CompletableFuture<AttemptAnswer> answer = open.get(attemptNumber);
        if (answer != null) {
            answer.completeExceptionally(
                    new AttemptException(AttemptFailure.CANCELLED, LoadReport.NONE, "test"));
        }
    }

    @Override
    public CompletableFuture<LoadReport> probe(BackendServer server) {
        probes++;
        CompletableFuture<LoadReport> report = new CompletableFuture<>();
        Model model = models.get(server.name());
        time.schedule(
                2 * WAY_MILLISECONDS,
                () -> {
                    model.probed++;
                    if (model.down) {
                        report.completeExceptionally(model.failure(model.failureOfProbes()));
                    } else if (model.behaviour == Behaviour.REFUSE_CONNECTIONS) {
                        report.completeExceptionally(
                                model.failure(AttemptFailure.CONNECTION_REFUSED));
                    } else {
                        report.complete(model.report());
                    }
                });
        return report;
    }

    /** One modelled server. */
    final class Model {

        private final String name;
        private final String zone;
        private final int slots;
        private final long workMilliseconds;
        private final Deque<Runnable> waiting = new ArrayDeque<>();
        private final List<Long> arrivals = new ArrayList<>();
        private int running;
        private int greatestOccupied;
        private int runs;
        private int pace = USUAL_PACE;
        private double kneeFactor = 1;
        private long coldUntil;
        private boolean leaving;
        private boolean departing;
        private long pauseMilliseconds = LoadReport.UNKNOWN;
        private int probed;
        private final Map<Long, CompletableFuture<AttemptAnswer>> inProgress =
                new LinkedHashMap<>();
        private String fatalContent = "none";
        private int starts = 1;
        private boolean down;
        private End end = End.REFUSES;
        private Behaviour behaviour = Behaviour.ANSWER;

        private Model(String name, String zone, int slots, long workMilliseconds) {
            this.name = name;
            this.zone = zone;
            this.slots = slots;
            this.workMilliseconds = workMilliseconds;
        }

        String name() {
            return name;
        }

        ServerEntry entry() {
            BackendServer server =
                    new BackendServer(
                            name, "s", "10.0.0.1", zone, "10.0.0.1:80", slots, 1, ServiceState.IN);
            return new ServerEntry(
                    server,
                    leaving,
                    Math.max(0, coldUntil - time.monotonicMilliseconds()),
                    starts,
                    1);
        }

        Model behave(Behaviour value) {
            behaviour = value;
            return this;
        }

        Model pace(int value) {
            pace = value;
            return this;
        }

        Model knee(double factor) {
            kneeFactor = factor;
            return this;
        }

        Model coldFor(long milliseconds) {
            coldUntil = time.monotonicMilliseconds() + milliseconds;
            return this;
        }

        Model leave() {
            leaving = true;
            return this;
        }

        /** Lets each of its answers announce its end. */
        Model announceEnd() {
            departing = true;
            return this;
        }

        /** Lets it turn requests away and ask for a pause, or -1 to end that. */
        Model askForPause(long milliseconds) {
            pauseMilliseconds = milliseconds;
            behaviour = milliseconds > 0 ? Behaviour.SHED : Behaviour.ANSWER;
            return this;
        }

        /** Counts the probes that reached it. */
        int probed() {
            return probed;
        }

        /** Lets it say that it is ill, or well again, while its entry says nothing. */
        Model sayIll(boolean ill) {
            leaving = ill;
            return this;
        }

        /** Lets it end under each request whose content begins so. */
        Model endOn(String content) {
            fatalContent = content;
            return this;
        }

        /** Sets what others see once it has ended. */
        Model endsAs(End value) {
            end = value;
            return this;
        }

        private AttemptFailure failureOfProbes() {
            return switch (end) {
                case REFUSES -> AttemptFailure.CONNECTION_REFUSED;
                case CUTS -> AttemptFailure.CONNECTION_BROKEN;
                case SILENT -> AttemptFailure.TIMED_OUT;
            };
        }

        /** Ends it: connections break and none is accepted until it starts again. */
        void end() {
            down = true;
            running = 0;
            waiting.clear();
            List<CompletableFuture<AttemptAnswer>> broken = List.copyOf(inProgress.values());
            inProgress.clear();
            if (end == End.SILENT) {
                return;
            }
            broken.forEach(
                    answer ->
                            answer.completeExceptionally(
                                    failure(AttemptFailure.CONNECTION_BROKEN)));
        }

        void endIfUp() {
            if (!down) {
                end();
            }
        }

        /** Starts it again under the same name. */
        void startAgain() {
            down = false;
            departing = false;
            starts++;
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

        /** Counts the requests that arrived after a time, rejected ones not included. */
        int arrivalsAfter(long milliseconds) {
            return (int) arrivals.stream().filter(at -> at > milliseconds).count();
        }

        int greatestOccupied() {
            return greatestOccupied;
        }

        /** Counts the most requests that arrived within any second. */
        int mostArrivalsInASecond() {
            int most = 0;
            for (long from : arrivals) {
                most =
                        Math.max(
                                most,
                                (int)
                                        arrivals.stream()
                                                .filter(at -> at >= from && at < from + 1_000)
                                                .count());
            }
            return most;
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
                            pace,
                            Math.max(0, coldUntil - time.monotonicMilliseconds()))
                    .withAnnouncement(departing, pauseMilliseconds);
        }

        private void arrive(Attempt attempt, CompletableFuture<AttemptAnswer> answer) {
            if (!attempt.isPermitted()) {
                answer.completeExceptionally(failure(AttemptFailure.NOT_PERMITTED));
            } else if (down && end == End.CUTS) {
                answer.completeExceptionally(failure(AttemptFailure.CONNECTION_BROKEN));
            } else if (down || behaviour == Behaviour.REFUSE_CONNECTIONS) {
                answer.completeExceptionally(failure(AttemptFailure.CONNECTION_REFUSED));
            } else if (behaviour == Behaviour.SHED
                    || (running >= slots && waiting.size() >= QUEUE)) {
                answer.completeExceptionally(
                        new AttemptException(AttemptFailure.SHED, report(), name));
            } else {
                arrivals.add(time.monotonicMilliseconds());
                inProgress.put(attempt.number(), answer);
                if (end == End.SILENT) {
                    timeOut(attempt, answer);
                }
                if (attempt.request().contentHash().startsWith(fatalContent)) {
                    runs++;
                    end();
                } else if (running < slots) {
                    run(attempt.number(), answer);
                } else {
                    waiting.add(() -> run(attempt.number(), answer));
                }
                greatestOccupied = Math.max(greatestOccupied, running + waiting.size());
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
            double spread = 0.7 + 0.6 * random.nextDouble();
            double knee = running > 0.8 * slots ? kneeFactor : 1;
            long takes = Math.round(workMilliseconds * spread * knee * pace / USUAL_PACE);
            time.schedule(takes, () -> finish(attempt, answer));
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
                    Answer whole = new Answer(ResultCode.ANSWERED, status, List.of(), new byte[0]);
                    answer.complete(new AttemptAnswer(whole, report()));
                }
            }
        }
    }
}
