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

/** Plays backend servers under virtual time and judges how they are used. */
public final class FakeServers implements BackendServerLink {

    /** How long a message takes to or from a server, in milliseconds. */
    private static final long DISTANCE_MILLISECONDS = 1;

    private final VirtualTime time;
    private final LongSupplier workMilliseconds;
    private final Map<String, Server> servers = new TreeMap<>();
    private final Map<Long, Running> running = new HashMap<>();
    private final Map<String, Integer> runs = new TreeMap<>();
    private final Map<String, Integer> company = new TreeMap<>();
    private final List<String> overloads = new ArrayList<>();
    private int probes;
    private boolean keptConnectionsSilent;

    public FakeServers(VirtualTime time, LongSupplier workMilliseconds) {
        this.time = time;
        this.workMilliseconds = workMilliseconds;
    }

    public void add(String name, int slots) {
        servers.put(name, new Server(name, slots));
    }

    public Server server(String name) {
        return servers.get(name);
    }

    /** Lists each moment at which a server had more in progress than it bears. */
    public List<String> overloads() {
        return overloads;
    }

    public int runsOf(RequestKey key) {
        return runs.getOrDefault(key.toString(), 0);
    }

    /** Returns the most that any server had in progress while it ran a target, itself included. */
    public int mostInProgressWith(String target) {
        return company.getOrDefault(target, 0);
    }

    public int probes() {
        return probes;
    }

    /** From now on the network loses what is sent on connections that were opened before. */
    public void silenceKeptConnections() {
        keptConnectionsSilent = true;
    }

    @Override
    public CompletableFuture<AttemptAnswer> dispatch(Attempt attempt) {
        CompletableFuture<AttemptAnswer> result = new CompletableFuture<>();
        if (!attempt.isPermitted()) {
            result.completeExceptionally(failure(AttemptFailure.NOT_PERMITTED));
            return result;
        }
        Running entry = new Running(attempt, result);
        running.put(attempt.number(), entry);
        if (!keptConnectionsSilent || attempt.isNewConnectionNeeded()) {
            time.schedule(DISTANCE_MILLISECONDS, () -> arrive(entry));
        }
        long left = attempt.deadlineMilliseconds() - time.monotonicMilliseconds();
        time.schedule(left, () -> fail(entry, AttemptFailure.TIMED_OUT));
        return result;
    }

    private void arrive(Running entry) {
        Server server = servers.get(entry.attempt.backendServer().name());
        if (server.down || entry.result.isDone()) {
            fail(entry, AttemptFailure.CONNECTION_REFUSED);
            return;
        }
        if (server.leaving) {
            fail(entry, AttemptFailure.LEAVING);
            return;
        }
        String expected = entry.attempt.expectedBootIdentity();
        if (!expected.isEmpty() && !expected.equals(server.report().bootIdentity())) {
            entry.result.completeExceptionally(
                    new AttemptException(AttemptFailure.NOT_PERMITTED, server.report(), "boot"));
            return;
        }
        entry.server = server;
        entry.boot = server.boot;
        server.inProgress++;
        server.lastNewWorkAt = time.monotonicMilliseconds();
        noteCompany(server);
        runs.merge(entry.attempt.request().key().toString(), 1, Integer::sum);
        int bears = server.cold() ? server.coldSlots : server.slots;
        if (server.inProgress > bears) {
            overloads.add(
                    server.name
                            + " had "
                            + server.inProgress
                            + " at "
                            + time.monotonicMilliseconds());
        }
        if (entry.attempt.request().target().equals(server.crashTarget)) {
            server.crash();
            return;
        }
        long work = (long) (workMilliseconds.getAsLong() * server.slowness);
        time.schedule(work, () -> complete(entry));
    }

    private void noteCompany(Server server) {
        running.values().stream()
                .filter(other -> other.server == server && other.boot == server.boot)
                .filter(other -> !other.left)
                .map(other -> other.attempt.request().target())
                .forEach(target -> company.merge(target, server.inProgress, Math::max));
    }

    private void complete(Running entry) {
        if (entry.server == null || entry.boot != entry.server.boot) {
            fail(entry, AttemptFailure.CONNECTION_BROKEN);
            return;
        }
        leave(entry);
        entry.server.answers++;
        int status = entry.server.failsFast ? 500 : 200;
        byte[] body = entry.attempt.request().key().toString().getBytes(StandardCharsets.UTF_8);
        Answer answer = new Answer(ResultCode.ANSWERED, status, List.of(), body);
        LoadReport report = entry.server.report();
        time.schedule(
                DISTANCE_MILLISECONDS,
                () -> {
                    running.remove(entry.attempt.number());
                    entry.result.complete(new AttemptAnswer(answer, report));
                });
    }

    private void leave(Running entry) {
        if (!entry.left && entry.server != null && entry.boot == entry.server.boot) {
            entry.left = true;
            entry.server.inProgress--;
        }
    }

    private void fail(Running entry, AttemptFailure reason) {
        if (entry.result.isDone()) {
            return;
        }
        running.remove(entry.attempt.number());
        if (entry.server != null) {
            time.schedule(DISTANCE_MILLISECONDS, () -> leave(entry));
        }
        entry.result.completeExceptionally(failure(reason));
    }

    private static AttemptException failure(AttemptFailure reason) {
        return new AttemptException(reason, LoadReport.NONE, "");
    }

    @Override
    public void cancel(long attemptNumber) {
        Running entry = running.get(attemptNumber);
        if (entry != null) {
            fail(entry, AttemptFailure.CANCELLED);
        }
    }

    @Override
    public CompletableFuture<LoadReport> probe(BackendServer backendServer) {
        probes++;
        CompletableFuture<LoadReport> result = new CompletableFuture<>();
        time.schedule(
                2 * DISTANCE_MILLISECONDS,
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

    /** Plays one backend server. */
    public final class Server {

        private final String name;
        private final int slots;
        private int coldSlots;
        private int warmAfterAnswers;
        private int answers;
        private int boot = 1;
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

        private boolean cold() {
            return answers < warmAfterAnswers;
        }

        private LoadReport report() {
            return new LoadReport(name + "-" + boot, inProgress, leaving);
        }

        public String name() {
            return name;
        }

        /** Makes the server cold until it has given some answers. */
        public Server bearsWhenCold(int requests, int answersUntilWarm) {
            coldSlots = requests;
            warmAfterAnswers = answersUntilWarm;
            answers = 0;
            return this;
        }

        public Server crashesOn(String target) {
            crashTarget = target;
            return this;
        }

        /** Stops the process with all it has in progress, and starts it anew, cold. */
        public void crash() {
            boot++;
            inProgress = 0;
            answers = 0;
            List.copyOf(running.values()).stream()
                    .filter(entry -> entry.server == this && entry.boot != boot)
                    .forEach(
                            entry ->
                                    time.schedule(
                                            1,
                                            () -> fail(entry, AttemptFailure.CONNECTION_BROKEN)));
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

    private static final class Running {
        private final Attempt attempt;
        private final CompletableFuture<AttemptAnswer> result;
        private Server server;
        private int boot;
        private boolean left;

        private Running(Attempt attempt, CompletableFuture<AttemptAnswer> result) {
            this.attempt = attempt;
            this.result = result;
        }
    }
}
