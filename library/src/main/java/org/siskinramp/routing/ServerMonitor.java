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
 * Updates the health and the warm-up state of backend servers from answers, failures, probes and
 * the messages of other hosts. It is guarded by the lock of the service.
 */
final class ServerMonitor {

    private static final int CONSECUTIVE_PROBE_FAILURES_TO_CLOSE = 3;

    private final ServiceRoutingState state;
    private final Notifier notifier;

    ServerMonitor(ServiceRoutingState state, Notifier notifier) {
        this.state = state;
        this.notifier = notifier;
    }

    /** Sends messages on servers to other hosts and receives probe results, outside the lock. */
    interface Notifier {

        /**
         * Sends every other host the allowance of a server. The receivers use it only to lower
         * theirs, since its age is unknown.
         *
         * @param allowance the current allowance
         */
        void broadcastReduction(ServerAllowance allowance);

        /**
         * Reports to the coordinator of a server that the server must be treated as cold: it
         * restarted, is leaving, shed a request, answered slowly, or its connections broke or were
         * refused.
         *
         * @param backendServer the name of the server
         * @param bootIdentity the last known boot identity, or an empty string
         */
        void reportColdSighting(String backendServer, String bootIdentity);

        /**
         * Asks the coordinator of a server to list its allowance in the next heartbeats.
         *
         * @param backendServer the name of the server
         */
        void requestAllowance(String backendServer);

        /**
         * Is called when a probe has ended.
         *
         * @param backendServer the name of the server
         * @param report the load report, or null if the probe failed
         * @param failure the failure, or null if the probe succeeded
         */
        void probeEnded(String backendServer, LoadReport report, Throwable failure);
    }

    void answered(
            OpenAttempt attempt, AttemptAnswer result, boolean failed, DeferredActions deferred) {
        long now = state.now();
        ServerState server = attempt.server();
        server.recordLoadReport(result.loadReport(), now);
        String bootIdentity = result.loadReport().bootIdentity();
        boolean fromPreviousProcess =
                attempt.hasServerRestarted() && attempt.bootIdentity().equals(bootIdentity);
        if (!fromPreviousProcess) {
            checkBootIdentity(server, bootIdentity, deferred);
        }
        if (failed) {
            recordFailure(server, now);
            return;
        }
        long latencyMilliseconds = now - attempt.startedAt();
        server.health().recordSuccess(latencyMilliseconds, now);
        state.latencies().add(latencyMilliseconds);
        if (!fromPreviousProcess && server.warmUp().recordAnswer(latencyMilliseconds, now)) {
            recordColdStart(server, "slow", deferred);
        }
    }

    void failed(OpenAttempt attempt, AttemptException failure, DeferredActions deferred) {
        long now = state.now();
        ServerState server = attempt.server();
        checkBootIdentity(server, failure.loadReport().bootIdentity(), deferred);
        AttemptFailure reason = failure.failure();
        switch (reason) {
            case NOT_PERMITTED, CANCELLED -> {}
            case SHED -> {
                server.recordLoadReport(failure.loadReport(), now);
                recordFailure(server, now);
                resetToCold(server, "shed", deferred);
            }
            case LEAVING -> close(server, "leaving", deferred);
            case CONNECTION_REFUSED -> {
                recordFailure(server, now);
                close(server, "refused", deferred);
                reportCrash(server, deferred);
            }
            case CONNECTION_BROKEN -> {
                String hash = attempt.routed().request().contentHash();
                server.recordBrokenRequest(hash, now);
                String name = server.backendServer().name();
                deferred.add(
                        () ->
                                state.environment()
                                        .crashSuspectTracker()
                                        .recordBrokenConnection(hash, name));
                if (attempt.hasServerRestarted()) {
                    reportCrash(server, deferred);
                }
                recordFailure(server, now);
                resetToCold(server, "broken", deferred);
                if (server.warmUp().isCoordinator()) {
                    probe(server, deferred);
                }
            }
            case TIMED_OUT -> {
                server.health().recordMinimumLatency(now - attempt.startedAt());
                recordFailure(server, now);
            }
            case CONNECTION_TIMED_OUT,
                    WRONG_SERVER,
                    ANSWER_INCOMPLETE,
                    ANSWER_CROSSED,
                    ANSWER_UNPROVEN,
                    ANSWER_INVALID,
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

    private void checkBootIdentity(
            ServerState server, String bootIdentity, DeferredActions deferred) {
        if (server.warmUp().observeBootIdentity(bootIdentity, state.now())) {
            recordColdStart(server, "new_start", deferred);
            reportCrash(server, deferred);
        }
    }

    private void reportCrash(ServerState server, DeferredActions deferred) {
        String name = server.backendServer().name();
        for (String hash : server.takeBrokenRequests(state.now())) {
            deferred.add(() -> state.environment().crashSuspectTracker().recordCrash(hash, name));
        }
    }

    private void resetToCold(ServerState server, String reason, DeferredActions deferred) {
        server.warmUp().resetToCold(state.now());
        recordColdStart(server, reason, deferred);
    }

    private void recordColdStart(ServerState server, String reason, DeferredActions deferred) {
        state.environment().counters().add(Counter.COLD_STARTS);
        log("server_cold", server, reason);
        announce(server, deferred);
    }

    /**
     * Isolates a server that this host coordinates, and sends the other hosts its allowance.
     *
     * @param server the server
     * @param deferred collects the actions to run after the lock is released
     */
    void isolate(ServerState server, DeferredActions deferred) {
        state.isolation().begin(server, state.now());
        log("server_isolated", server, "suspect_request");
        announce(server, deferred);
    }

    private void close(ServerState server, String reason, DeferredActions deferred) {
        if (server.warmUp().isClosed()) {
            return;
        }
        if (server.warmUp().isCoordinator()) {
            server.warmUp().close();
        } else {
            server.warmUp().resetToCold(state.now());
        }
        log("server_closed", server, reason);
        announce(server, deferred);
    }

    private void announce(ServerState server, DeferredActions deferred) {
        String name = server.backendServer().name();
        String bootIdentity = server.warmUp().bootIdentity();
        if (server.warmUp().isCoordinator()) {
            ServerAllowance allowance =
                    new ServerAllowance(name, server.warmUp().announcedAllowance(), bootIdentity);
            deferred.add(() -> notifier.broadcastReduction(allowance));
        } else {
            deferred.add(() -> notifier.reportColdSighting(name, bootIdentity));
        }
    }

    private void log(String event, ServerState server, String reason) {
        state.environment()
                .eventLog()
                .record(
                        LogEvent.named(event)
                                .with("service", state.service().name())
                                .with("backend_server", server.backendServer().name())
                                .with("judge", server.warmUp().isCoordinator())
                                .with("reason", reason));
    }

    /**
     * Handles another host's report that a server must be treated as cold. If the server is closed,
     * or is warming up and has the reported boot identity, only its allowance is sent again.
     *
     * @param backendServer the name of the server
     * @param bootIdentity the boot identity that the other host knows, or an empty string
     * @param deferred collects the actions to run after the lock is released
     */
    void handleColdSighting(String backendServer, String bootIdentity, DeferredActions deferred) {
        ServerState server = state.servers().get(backendServer);
        if (server == null || !server.warmUp().isCoordinator()) {
            return;
        }
        boolean sameProcess =
                !bootIdentity.isEmpty() && bootIdentity.equals(server.warmUp().bootIdentity());
        if (sameProcess && !server.warmUp().isWarm()) {
            announce(server, deferred);
            return;
        }
        if (server.warmUp().isClosed()) {
            announce(server, deferred);
            return;
        }
        server.warmUp().observeBootIdentity(bootIdentity, state.now());
        resetToCold(server, "sighting", deferred);
        probe(server, deferred);
    }

    /**
     * Lists a server in the next heartbeats of this host although it is warm.
     *
     * @param backendServer the name of the server
     */
    void listInHeartbeats(String backendServer) {
        ServerState server = state.servers().get(backendServer);
        if (server != null) {
            server.listInHeartbeatsUntil(
                    state.now() + state.options().warmUp().allowanceLifetimeMilliseconds());
        }
    }

    /**
     * Sends the probes that are due and requests the allowances that are missing.
     *
     * @param deferred collects the actions to run after the lock is released
     */
    void checkServers(DeferredActions deferred) {
        long now = state.now();
        for (ServerState server : state.servers().values()) {
            if (server.warmUp().needsAllowance(now) && server.isAllowanceRequestDue(now)) {
                server.recordAllowanceRequest(now);
                String name = server.backendServer().name();
                deferred.add(() -> notifier.requestAllowance(name));
            }
            if (server.warmUp().isCoordinator() && server.takesNewWork()) {
                boolean unhealthy = server.warmUp().isClosed() || server.hasProbeFailures();
                long interval =
                        unhealthy
                                ? state.options().unhealthyProbeIntervalMilliseconds()
                                : state.options().probeIntervalMilliseconds();
                if (server.isProbeDue(now, interval)) {
                    probe(server, deferred);
                }
            }
        }
    }

    private void probe(ServerState server, DeferredActions deferred) {
        server.beginProbe(state.now());
        state.environment().counters().add(Counter.PROBES);
        String name = server.backendServer().name();
        deferred.add(() -> sendProbe(name, server.backendServer()));
    }

    private void sendProbe(String name, BackendServer server) {
        CompletableFuture<LoadReport> unused =
                state.environment()
                        .backendServerLink()
                        .probe(server)
                        .whenComplete(
                                (report, failure) -> notifier.probeEnded(name, report, failure));
    }

    /**
     * Handles the failure of a probe. A refused connection closes the server at once. Any other
     * failure, such as a time-out, may be caused by this host itself, so that only several in a row
     * close the server.
     *
     * @param backendServer the name of the server
     * @param failure why the probe failed
     * @param deferred collects the actions to run after the lock is released
     */
    void probeFailed(String backendServer, AttemptException failure, DeferredActions deferred) {
        ServerState server = state.servers().get(backendServer);
        if (server == null) {
            return;
        }
        server.endProbe();
        if (failure.failure() == AttemptFailure.CONNECTION_REFUSED) {
            close(server, "probe_refused", deferred);
        } else if (server.countProbeFailure() >= CONSECUTIVE_PROBE_FAILURES_TO_CLOSE) {
            close(server, "probe_failed", deferred);
        }
    }

    /**
     * Handles the result of a successful probe.
     *
     * @param backendServer the name of the server
     * @param report the load report
     * @param deferred collects the actions to run after the lock is released
     */
    void probed(String backendServer, LoadReport report, DeferredActions deferred) {
        ServerState server = state.servers().get(backendServer);
        if (server == null) {
            return;
        }
        server.endProbe();
        if (report.leaving()) {
            close(server, "leaving", deferred);
            return;
        }
        server.recordLoadReport(report, state.now());
        checkBootIdentity(server, report.bootIdentity(), deferred);
        if (server.warmUp().isClosed()) {
            resetToCold(server, "open_again", deferred);
        }
    }

    /**
     * Applies the allowances in a heartbeat of another host.
     *
     * @param listed the allowances that the heartbeat lists
     * @param omittedAsWarm the servers that the sender coordinates and omits because they are warm
     * @param earliestSentAt the earliest time at which the heartbeat may have been sent, in
     *     monotonic milliseconds of this host
     * @param deferred collects the actions to run after the lock is released
     */
    void applyAllowances(
            List<ServerAllowance> listed,
            List<String> omittedAsWarm,
            long earliestSentAt,
            DeferredActions deferred) {
        for (ServerAllowance allowance : listed) {
            ServerState server = state.servers().get(allowance.backendServer());
            if (server != null
                    && server.warmUp()
                            .applyAllowance(
                                    allowance.allowance(),
                                    allowance.bootIdentity(),
                                    earliestSentAt)) {
                reportCrash(server, deferred);
            }
        }
        for (String name : omittedAsWarm) {
            ServerState server = state.servers().get(name);
            if (server != null) {
                server.warmUp().applyFullAllowance(earliestSentAt);
            }
        }
    }

    /**
     * Applies an allowance update of unknown age, which can only lower allowances.
     *
     * @param reductions the new allowances
     */
    void applyReductions(List<ServerAllowance> reductions) {
        for (ServerAllowance allowance : reductions) {
            ServerState server = state.servers().get(allowance.backendServer());
            if (server != null) {
                server.warmUp().applyReduction(allowance.allowance());
            }
        }
    }

    /** Makes this host the warm-up coordinator of the servers whose slot 0 it holds. */
    void updateCoordinatorRoles() {
        long now = state.now();
        List<SlotKey> held = new ArrayList<>();
        state.slots().own().stream().filter(Slot::isHeld).forEach(slot -> held.add(slot.key()));
        for (ServerState server : state.servers().values()) {
            SlotKey firstSlot = new SlotKey(server.backendServer().name(), 0);
            server.warmUp().setCoordinator(held.contains(firstSlot), now);
        }
    }
}
