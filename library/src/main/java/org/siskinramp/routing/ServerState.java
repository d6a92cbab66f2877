package org.siskinramp.routing;

import java.util.ArrayList;
import java.util.List;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.health.ServerHealth;
import org.siskinramp.warmth.ServerWarmUp;

/** Holds what this host knows of one backend server. It is guarded by the lock of the service. */
final class ServerState {

    private static final long BROKEN_REQUEST_RETENTION_MILLISECONDS = 10_000;
    private static final int BROKEN_REQUESTS_LIMIT = 100;
    private static final long ALLOWANCE_REQUEST_INTERVAL_MILLISECONDS = 400;

    private final ServerHealth health;
    private final ServerWarmUp warmUp;
    private BackendServer backendServer;
    private volatile boolean takesNewWork;
    private int requestsInProgress;
    private int reportedLoad = -1;
    private long lastReportAt;
    private long lastProbeAt;
    private boolean probeInFlight;
    private int probeFailures;
    private long allowanceRequestedAt = Long.MIN_VALUE / 2;
    private long listedUntil = Long.MIN_VALUE;
    private final List<BrokenRequest> brokenRequests = new ArrayList<>();

    ServerState(
            BackendServer backendServer,
            boolean takesNewWork,
            ServerHealth health,
            ServerWarmUp warmUp) {
        this.backendServer = backendServer;
        this.takesNewWork = takesNewWork;
        this.health = health;
        this.warmUp = warmUp;
    }

    BackendServer backendServer() {
        return backendServer;
    }

    ServerHealth health() {
        return health;
    }

    ServerWarmUp warmUp() {
        return warmUp;
    }

    boolean takesNewWork() {
        return takesNewWork;
    }

    /**
     * Applies a configuration. A server that returns to service, or whose address has changed, is
     * cold.
     *
     * @param changed the new description of the server
     * @param nowTakesNewWork whether it takes new work now
     * @param now monotonic milliseconds
     */
    void applyConfiguration(BackendServer changed, boolean nowTakesNewWork, long now) {
        boolean addressChanged = !changed.address().equals(backendServer.address());
        if (addressChanged || (nowTakesNewWork && !takesNewWork)) {
            warmUp.resetToCold(now);
        }
        warmUp.resize(changed.slots(), changed.coldSlots());
        backendServer = changed;
        takesNewWork = nowTakesNewWork;
    }

    int requestsInProgress() {
        return requestsInProgress;
    }

    void beginRequest() {
        requestsInProgress++;
    }

    void endRequest() {
        requestsInProgress--;
    }

    int reportedLoad() {
        return reportedLoad;
    }

    /**
     * Records a load report.
     *
     * @param report the report of the server
     * @param now monotonic milliseconds
     */
    void recordLoadReport(LoadReport report, long now) {
        lastReportAt = now;
        probeFailures = 0;
        if (report.requestsInProgress() >= 0) {
            reportedLoad = report.requestsInProgress();
        }
    }

    /**
     * Tells whether a probe is due.
     *
     * @param now monotonic milliseconds
     * @param intervalMilliseconds the least time since the last load report or probe
     * @return true if that time has passed and no probe is in flight
     */
    boolean isProbeDue(long now, long intervalMilliseconds) {
        return !probeInFlight && now - Math.max(lastReportAt, lastProbeAt) >= intervalMilliseconds;
    }

    /**
     * Counts a failed probe.
     *
     * @return the number of failed probes since the last load report
     */
    int countProbeFailure() {
        probeFailures++;
        return probeFailures;
    }

    boolean hasProbeFailures() {
        return probeFailures > 0;
    }

    boolean isAllowanceRequestDue(long now) {
        return now - allowanceRequestedAt >= ALLOWANCE_REQUEST_INTERVAL_MILLISECONDS;
    }

    void recordAllowanceRequest(long now) {
        allowanceRequestedAt = now;
    }

    /**
     * Makes heartbeats list this server although it is warm.
     *
     * @param until monotonic milliseconds
     */
    void listInHeartbeatsUntil(long until) {
        listedUntil = until;
    }

    boolean isListedInHeartbeats(long now) {
        return now < listedUntil;
    }

    void beginProbe(long now) {
        probeInFlight = true;
        lastProbeAt = now;
    }

    void endProbe() {
        probeInFlight = false;
    }

    /**
     * Records a request whose connection broke, and makes a probe due: the request may have crashed
     * the server.
     *
     * @param contentHash the content hash of the request
     * @param now monotonic milliseconds
     */
    void recordBrokenRequest(String contentHash, long now) {
        if (brokenRequests.size() < BROKEN_REQUESTS_LIMIT) {
            brokenRequests.add(new BrokenRequest(contentHash, now));
        }
        lastReportAt = now - BROKEN_REQUEST_RETENTION_MILLISECONDS;
        lastProbeAt = lastReportAt;
    }

    /**
     * Removes the recorded requests whose connection broke, once the server is known to have
     * crashed.
     *
     * @param now monotonic milliseconds
     * @return the content hashes of those whose connection broke recently
     */
    List<String> takeBrokenRequests(long now) {
        List<String> hashes =
                brokenRequests.stream()
                        .filter(
                                broken ->
                                        now - broken.brokenAt
                                                < BROKEN_REQUEST_RETENTION_MILLISECONDS)
                        .map(BrokenRequest::contentHash)
                        .distinct()
                        .toList();
        brokenRequests.clear();
        return hashes;
    }

    ServerCandidate candidate(String availabilityZone, long now, double typicalMilliseconds) {
        return new ServerCandidate(
                backendServer.name(),
                !warmUp.isWarm(),
                backendServer.availabilityZone().equals(availabilityZone),
                health.score(now, typicalMilliseconds),
                requestsInProgress,
                reportedLoad);
    }

    private record BrokenRequest(String contentHash, long brokenAt) {}
}
