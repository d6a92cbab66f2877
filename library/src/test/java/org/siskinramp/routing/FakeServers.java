package org.siskinramp.routing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.siskinramp.attempt.Attempt;
import org.siskinramp.attempt.AttemptAnswer;
import org.siskinramp.attempt.AttemptException;
import org.siskinramp.attempt.AttemptFailure;
import org.siskinramp.attempt.BackendServerLink;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.request.Answer;
import org.siskinramp.request.RequestKey;
import org.siskinramp.result.ResultCode;
import org.siskinramp.time.VirtualTime;

/** Simulates backend servers in virtual time and records whether their limits are exceeded. */
public final class FakeServers implements BackendServerLink {

    /** One-way delay of a message to or from a server. */
    private static final long NETWORK_DELAY_MILLISECONDS = 1;

    private final VirtualTime time;
    private final LongSupplier serviceTimeMilliseconds;
    private final Map<String, Server> servers = new TreeMap<>();
    private final Map<Long, RunningAttempt> runningAttempts = new HashMap<>();
    private final Map<String, Integer> runsByRequest = new TreeMap<>();
    private final Map<String, Integer> peakInProgressByTarget = new TreeMap<>();
    private final List<String> overloads = new ArrayList<>();
    private int probes;
    private boolean pooledConnectionsSilent;

    public FakeServers(VirtualTime time, LongSupplier serviceTimeMilliseconds) {
        this.time = time;
        this.serviceTimeMilliseconds = serviceTimeMilliseconds;
    }

    public void add(String name, int slots) {
        servers.put(name, new Server(name, slots));
    }

    public Server server(String name) {
        return servers.get(name);
    }

    /** Lists each time at which a server had more requests in progress than its limit. */
    public List<String> overloads() {
        return overloads;
    }

    public int runsOf(RequestKey key) {
        return runsByRequest.getOrDefault(key.toString(), 0);
    }

    /**
     * Returns the greatest number of requests that any server had in progress while it ran a
     * request for a target, including that request.
     */
    public int peakInProgressDuring(String target) {
        return peakInProgressByTarget.getOrDefault(target, 0);
    }

    public int probes() {
        return probes;
    }

    /** Drops all data sent on connections that are already open; new connections work. */
    public void silencePooledConnections() {
        pooledConnectionsSilent = true;
    }

    @Override
    public CompletableFuture<AttemptAnswer> dispatch(Attempt attempt) {
        CompletableFuture<AttemptAnswer> result = new CompletableFuture<>();
        if (!attempt.isPermitted()) {
            result.completeExceptionally(failure(AttemptFailure.NOT_PERMITTED));
            return result;
        }
        RunningAttempt running = new RunningAttempt(attempt, result);
        runningAttempts.put(attempt.number(), running);
        if (!pooledConnectionsSilent || attempt.isNewConnectionNeeded()) {
            time.schedule(NETWORK_DELAY_MILLISECONDS, () -> arrive(running));
        }
        long left = attempt.deadlineMilliseconds() - time.monotonicMilliseconds();
        time.schedule(left, () -> fail(running, AttemptFailure.TIMED_OUT));
        return result;
    }

    private void arrive(RunningAttempt running) {
        Server server = servers.get(running.attempt.backendServer().name());
        if (server.down || running.result.isDone()) {
            fail(running, AttemptFailure.CONNECTION_REFUSED);
            return;
        }
        if (server.leaving) {
            fail(running, AttemptFailure.LEAVING);
            return;
        }
        String expected = running.attempt.expectedBootIdentity();
        if (!expected.isEmpty() && !expected.equals(server.report().bootIdentity())) {
            running.result.completeExceptionally(
                    new AttemptException(AttemptFailure.NOT_PERMITTED, server.report(), "boot"));
            return;
        }
        running.server = server;
        running.bootNumber = server.bootNumber;
        server.inProgress++;
        server.lastNewWorkAt = time.monotonicMilliseconds();
        recordPeakInProgress(server);
        runsByRequest.merge(running.attempt.request().key().toString(), 1, Integer::sum);
        int limit = server.isCold() ? server.coldSlots : server.slots;
        if (server.inProgress > limit) {
            overloads.add(
                    server.name
                            + " had "
                            + server.inProgress
                            + " at "
                            + time.monotonicMilliseconds());
        }
        if (running.attempt.request().target().equals(server.crashTarget)) {
            server.crash();
            return;
        }
        long serviceTime = (long) (serviceTimeMilliseconds.getAsLong() * server.slowness);
        time.schedule(serviceTime, () -> complete(running));
    }

    private void recordPeakInProgress(Server server) {
        runningAttempts.values().stream()
                .filter(other -> other.server == server && other.bootNumber == server.bootNumber)
                .filter(other -> !other.released)
                .map(other -> other.attempt.request().target())
                .forEach(
                        target ->
                                peakInProgressByTarget.merge(target, server.inProgress, Math::max));
    }

    private void complete(RunningAttempt running) {
        if (running.server == null || running.bootNumber != running.server.bootNumber) {
            fail(running, AttemptFailure.CONNECTION_BROKEN);
            return;
        }
        release(running);
        running.server.answers++;
        int status = running.server.failsFast ? 500 : 200;
        byte[] body = running.attempt.request().key().toString().getBytes(StandardCharsets.UTF_8);
        Answer answer = new Answer(ResultCode.ANSWERED, status, List.of(), body);
        LoadReport report = running.server.report();
        time.schedule(
                NETWORK_DELAY_MILLISECONDS,
                () -> {
                    runningAttempts.remove(running.attempt.number());
                    running.result.complete(new AttemptAnswer(answer, report));
                });
    }

    private void release(RunningAttempt running) {
        if (!running.released
                && running.server != null
                && running.bootNumber == running.server.bootNumber) {
            running.released = true;
            running.server.inProgress--;
        }
    }

    private void fail(RunningAttempt running, AttemptFailure reason) {
        if (running.result.isDone()) {
            return;
        }
        runningAttempts.remove(running.attempt.number());
        if (running.server != null) {
            time.schedule(NETWORK_DELAY_MILLISECONDS, () -> release(running));
        }
        running.result.completeExceptionally(failure(reason));
    }

    private static AttemptException failure(AttemptFailure reason) {
        return new AttemptException(reason, LoadReport.NONE, "");
    }

    @Override
    public void cancel(long attemptNumber) {
        RunningAttempt running = runningAttempts.get(attemptNumber);
        if (running != null) {
            fail(running, AttemptFailure.CANCELLED);
        }
    }

    @Override
    public CompletableFuture<LoadReport> probe(BackendServer backendServer) {
        probes++;
        CompletableFuture<LoadReport> result = new CompletableFuture<>();
        time.schedule(
                2 * NETWORK_DELAY_MILLISECONDS,
                () -> {
                    Server server = servers.get(backendServer.name());
                    if (server.down) {
                        result.completeExceptionally(failure(AttemptFailure.CONNECTION_REFUSED));
                    } else {
                        result.complete(server.report());
                    }
                });
        return result;
    }

    /** Simulates one backend server. */
    public final class Server {

        private final String name;
        private final int slots;
        private int coldSlots;
        private int warmAfterAnswers;
        private int answers;
        private int bootNumber = 1;
        private int inProgress;
        private long lastNewWorkAt = -1;
        private double slowness = 1;
        private boolean down;
        private boolean leaving;
        private boolean failsFast;
        private String crashTarget = "";

        private Server(String name, int slots) {
            this.name = name;
            this.slots = slots;
            this.coldSlots = slots;
        }

        private boolean isCold() {
            return answers < warmAfterAnswers;
        }

        private LoadReport report() {
            return new LoadReport(name + "-" + bootNumber, inProgress, leaving);
        }

        public String name() {
            return name;
        }

        /** Makes the server cold, with a lower limit, until it has given some answers. */
        public Server limitWhenCold(int requests, int answersUntilWarm) {
            coldSlots = requests;
            warmAfterAnswers = answersUntilWarm;
            answers = 0;
            return this;
        }

        public Server crashesOn(String target) {
            crashTarget = target;
            return this;
        }

        /** Crashes the process with all its requests in progress, and restarts it cold. */
        public void crash() {
            bootNumber++;
            inProgress = 0;
            answers = 0;
            List.copyOf(runningAttempts.values()).stream()
                    .filter(running -> running.server == this && running.bootNumber != bootNumber)
                    .forEach(
                            running ->
                                    time.schedule(
                                            1,
                                            () -> fail(running, AttemptFailure.CONNECTION_BROKEN)));
        }

        public void setDown(boolean value) {
            down = value;
            if (value) {
                crash();
            }
        }

        public void setLeaving(boolean value) {
            leaving = value;
        }

        public void setFailsFast(boolean value) {
            failsFast = value;
        }

        public void setSlowness(double value) {
            slowness = value;
        }

        public long lastNewWorkAt() {
            return lastNewWorkAt;
        }

        public int answers() {
            return answers;
        }
    }

    private static final class RunningAttempt {
        private final Attempt attempt;
        private final CompletableFuture<AttemptAnswer> result;
        private Server server;
        private int bootNumber;
        private boolean released;

        private RunningAttempt(Attempt attempt, CompletableFuture<AttemptAnswer> result) {
            this.attempt = attempt;
            this.result = result;
        }
    }
}
