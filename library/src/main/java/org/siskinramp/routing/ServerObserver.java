package org.siskinramp.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.attempt.AttemptAnswer;
import org.siskinramp.attempt.AttemptException;
import org.siskinramp.attempt.AttemptFailure;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.log.Counter;
import org.siskinramp.log.LogEvent;
import org.siskinramp.peer.ServerAllowance;
import org.siskinramp.slot.SlotKey;

/**
 * Draws conclusions on backend servers from answers, failures, probes and the words of other hosts.
 * It is guarded by the lock of the service.
 */
final class ServerObserver {

    private static final int PROBE_FAILURES_BEFORE_CLOSING = 3;

    private final ServiceState state;
    private final WordSender words;

    ServerObserver(ServiceState state, WordSender words) {
        this.state = state;
        this.words = words;
    }

    /** Tells other hosts of a server, outside the lock. */
    interface WordSender {

        /**
         * Tells every other host that a server bears less than before.
         *
         * @param allowance the new allowance
         */
        void tellReduction(ServerAllowance allowance);

        /**
         * Tells the judge of a server that it was seen to start anew or to refuse work.
         *
         * @param backendServer the server
         * @param bootIdentity the boot identity that was seen, or an empty string
         */
        void tellSighting(String backendServer, String bootIdentity);

        /**
         * Asks the judge of a server to name it in its next heartbeats.
         *
         * @param backendServer the server
         */
        void askForWord(String backendServer);

        /**
         * Reports the end of a probe.
         *
         * @param backendServer the server
         * @param report the load report, or null if the probe failed
         * @param failure the failure, or null
         */
        void probed(String backendServer, LoadReport report, Throwable failure);
    }

    void answered(OpenAttempt attempt, AttemptAnswer result, boolean failed, Effects effects) {
        long now = state.now();
        ServerState server = attempt.server();
        server.hear(result.loadReport(), now);
        String bootIdentity = result.loadReport().bootIdentity();
        boolean ofEarlierStart =
                attempt.outlivedServer() && attempt.bootIdentity().equals(bootIdentity);
        if (!ofEarlierStart) {
            noteBootIdentity(server, bootIdentity, effects);
        }
        if (failed) {
            recordFailure(server, now);
            return;
        }
        long latencyMilliseconds = now - attempt.startedAt();
        server.health().recordSuccess(latencyMilliseconds, now);
        state.latencies().add(latencyMilliseconds);
        if (!ofEarlierStart && server.warmth().recordAnswer(latencyMilliseconds, now)) {
            foundCold(server, "slow", effects);
        }
    }

    void failed(OpenAttempt attempt, AttemptException failure, Effects effects) {
        long now = state.now();
        ServerState server = attempt.server();
        noteBootIdentity(server, failure.loadReport().bootIdentity(), effects);
        AttemptFailure reason = failure.failure();
        switch (reason) {
            case NOT_PERMITTED, CANCELLED -> {}
            case SHED -> {
                server.hear(failure.loadReport(), now);
                recordFailure(server, now);
                startCold(server, "shed", effects);
            }
            case LEAVING -> close(server, "leaving", effects);
            case CONNECTION_REFUSED -> {
                recordFailure(server, now);
                close(server, "refused", effects);
                blameBroken(server, effects);
            }
            case CONNECTION_BROKEN -> {
                String hash = attempt.run().request().contentHash();
                server.rememberBroken(hash, now);
                String name = server.backendServer().name();
                effects.add(
                        () -> state.environment().requestSuspicion().connectionBroke(hash, name));
                if (attempt.outlivedServer()) {
                    blameBroken(server, effects);
                }
                recordFailure(server, now);
                startCold(server, "broken", effects);
                if (server.warmth().isJudge()) {
                    probe(server, effects);
                }
            }
            case TIMED_OUT -> {
                server.health().recordSlow(now - attempt.startedAt());
                recordFailure(server, now);
            }
            case CONNECTION_TIMED_OUT,
                    WRONG_SERVER,
                    ANSWER_INCOMPLETE,
                    ANSWER_CROSSED,
                    ANSWER_UNPROVEN,
                    ANSWER_ENDLESS,
                    ANSWER_TOO_LARGE ->
                    recordFailure(server, now);
        }
    }

    private void recordFailure(ServerState server, long now) {
        if (server.health().recordFailure(now, state.mayEject(now))) {
            state.environment().counters().add(Counter.EJECTIONS);
            log("server_ejected", server, "failures");
        }
    }

    private void noteBootIdentity(ServerState server, String bootIdentity, Effects effects) {
        if (server.warmth().seeBootIdentity(bootIdentity, state.now())) {
            foundCold(server, "new_start", effects);
            blameBroken(server, effects);
        }
    }

    private void blameBroken(ServerState server, Effects effects) {
        String name = server.backendServer().name();
        for (String hash : server.takeBroken(state.now())) {
            effects.add(() -> state.environment().requestSuspicion().serverStopped(hash, name));
        }
    }

    private void startCold(ServerState server, String reason, Effects effects) {
        server.warmth().startCold(state.now());
        foundCold(server, reason, effects);
    }

    private void foundCold(ServerState server, String reason, Effects effects) {
        state.environment().counters().add(Counter.COLD_STARTS);
        log("server_cold", server, reason);
        tell(server, effects);
    }

    /**
     * Isolates a judged server and tells the other hosts.
     *
     * @param server the server
     * @param effects what happens outside the lock
     */
    void isolate(ServerState server, Effects effects) {
        state.isolation().begin(server, state.now());
        log("server_isolated", server, "suspect_request");
        tell(server, effects);
    }

    private void close(ServerState server, String reason, Effects effects) {
        if (server.warmth().isClosed()) {
            return;
        }
        if (server.warmth().isJudge()) {
            server.warmth().close();
        } else {
            server.warmth().startCold(state.now());
        }
        log("server_closed", server, reason);
        tell(server, effects);
    }

    private void tell(ServerState server, Effects effects) {
        String name = server.backendServer().name();
        String boot = server.warmth().bootIdentity();
        if (server.warmth().isJudge()) {
            ServerAllowance allowance =
                    new ServerAllowance(name, server.warmth().judgedAllowance(), boot);
            effects.add(() -> words.tellReduction(allowance));
        } else {
            effects.add(() -> words.tellSighting(name, boot));
        }
    }

    private void log(String event, ServerState server, String reason) {
        state.environment()
                .eventLog()
                .record(
                        LogEvent.named(event)
                                .with("service", state.service().name())
                                .with("backend_server", server.backendServer().name())
                                .with("judge", server.warmth().isJudge())
                                .with("reason", reason));
    }

    /**
     * Follows another host's sighting of a cold start.
     *
     * @param backendServer the server
     * @param bootIdentity the boot identity that was seen, or an empty string
     * @param effects what happens outside the lock
     */
    void hearSighting(String backendServer, String bootIdentity, Effects effects) {
        ServerState server = state.servers().get(backendServer);
        if (server == null || !server.warmth().isJudge()) {
            return;
        }
        boolean known =
                !bootIdentity.isEmpty() && bootIdentity.equals(server.warmth().bootIdentity());
        if (known && !server.warmth().isWarm()) {
            tell(server, effects);
            return;
        }
        if (server.warmth().isClosed()) {
            tell(server, effects);
            return;
        }
        server.warmth().seeBootIdentity(bootIdentity, state.now());
        startCold(server, "sighting", effects);
        probe(server, effects);
    }

    /**
     * Names a judged server in the next heartbeats.
     *
     * @param backendServer the server
     */
    void nameServer(String backendServer) {
        ServerState server = state.servers().get(backendServer);
        if (server != null) {
            server.nameUntil(state.now() + state.options().warmth().wordLifetimeMilliseconds());
        }
    }

    /**
     * Sends the probes that are due and asks for the words that are missing.
     *
     * @param effects what happens outside the lock
     */
    void watch(Effects effects) {
        long now = state.now();
        for (ServerState server : state.servers().values()) {
            if (server.warmth().needsWord(now) && server.isWordAskDue(now)) {
                server.askedForWord(now);
                String name = server.backendServer().name();
                effects.add(() -> words.askForWord(name));
            }
            if (server.warmth().isJudge() && server.takesNewWork()) {
                boolean suspect = server.warmth().isClosed() || server.hasProbeFailures();
                long interval =
                        suspect
                                ? state.options().suspectProbeIntervalMilliseconds()
                                : state.options().probeIntervalMilliseconds();
                if (server.isProbeDue(now, interval)) {
                    probe(server, effects);
                }
            }
        }
    }

    private void probe(ServerState server, Effects effects) {
        server.beginProbe(state.now());
        state.environment().counters().add(Counter.PROBES);
        String name = server.backendServer().name();
        effects.add(() -> sendProbe(name, server.backendServer()));
    }

    private void sendProbe(String name, BackendServer server) {
        CompletableFuture<LoadReport> unused =
                state.environment()
                        .backendServerLink()
                        .probe(server)
                        .whenComplete((report, failure) -> words.probed(name, report, failure));
    }

    /**
     * Takes the failure of a probe in. A refused connection closes the server at once; a probe that
     * found no answer in time may be this host's own fault, so that only several in a row do.
     *
     * @param backendServer the server
     * @param failure why the probe failed
     * @param effects what happens outside the lock
     */
    void probeFailed(String backendServer, AttemptException failure, Effects effects) {
        ServerState server = state.servers().get(backendServer);
        if (server == null) {
            return;
        }
        server.endProbe();
        if (failure.failure() == AttemptFailure.CONNECTION_REFUSED) {
            close(server, "probe_refused", effects);
        } else if (server.countProbeFailure() >= PROBE_FAILURES_BEFORE_CLOSING) {
            close(server, "probe_failed", effects);
        }
    }

    /**
     * Takes the result of a probe in.
     *
     * @param backendServer the server
     * @param report the load report
     * @param effects what happens outside the lock
     */
    void probed(String backendServer, LoadReport report, Effects effects) {
        ServerState server = state.servers().get(backendServer);
        if (server == null) {
            return;
        }
        server.endProbe();
        if (report.leaving()) {
            close(server, "leaving", effects);
            return;
        }
        server.hear(report, state.now());
        noteBootIdentity(server, report.bootIdentity(), effects);
        if (server.warmth().isClosed()) {
            startCold(server, "open_again", effects);
        }
    }

    /**
     * Follows the words of another host that judges servers.
     *
     * @param explicit the servers that the word names
     * @param implicit the servers that the word leaves out as warm
     * @param given a time, in monotonic milliseconds of this host, that the word is not older than
     * @param effects what happens outside the lock
     */
    void hearWords(
            List<ServerAllowance> explicit, List<String> implicit, long given, Effects effects) {
        for (ServerAllowance word : explicit) {
            ServerState server = state.servers().get(word.backendServer());
            if (server != null
                    && server.warmth().hearWord(word.allowance(), word.bootIdentity(), given)) {
                blameBroken(server, effects);
            }
        }
        for (String name : implicit) {
            ServerState server = state.servers().get(name);
            if (server != null) {
                server.warmth().hearStillWarm(given);
            }
        }
    }

    /**
     * Follows a word of unknown age, which can only lower allowances.
     *
     * @param words the named servers
     */
    void hearReductions(List<ServerAllowance> words) {
        for (ServerAllowance word : words) {
            ServerState server = state.servers().get(word.backendServer());
            if (server != null) {
                server.warmth().hearReduction(word.allowance());
            }
        }
    }

    /** Makes this host the judge of the servers whose slot 0 it holds. */
    void followHoldings() {
        long now = state.now();
        List<SlotKey> held = new ArrayList<>();
        state.slots().own().stream().filter(Slot::isHeld).forEach(slot -> held.add(slot.key()));
        for (ServerState server : state.servers().values()) {
            SlotKey first = new SlotKey(server.backendServer().name(), 0);
            server.warmth().setJudge(held.contains(first), now);
        }
    }
}
