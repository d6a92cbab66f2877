package org.siskinramp.routing;

import java.util.ArrayList;
import java.util.List;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.health.ServerHealth;
import org.siskinramp.warmth.ServerWarmth;

/** Keeps what this host knows of one backend server. It is guarded by the lock of the service. */
final class ServerState {

    private static final long BROKEN_REQUEST_MEMORY_MILLISECONDS = 10_000;
    private static final int BROKEN_REQUESTS_KEPT = 100;
    private static final long WORD_ASK_INTERVAL_MILLISECONDS = 400;

    private final ServerHealth health;
    private final ServerWarmth warmth;
    private BackendServer backendServer;
    private volatile boolean takesNewWork;
    private int requestsInProgress;
    private int reportedLoad = -1;
    private long heardAt;
    private long probedAt;
    private boolean probing;
    private int probeFailures;
    private long askedForWordAt = Long.MIN_VALUE / 2;
    private long namedUntil = Long.MIN_VALUE;
    private final List<BrokenRequest> brokenRequests = new ArrayList<>();

    ServerState(
            BackendServer backendServer,
            boolean takesNewWork,
            ServerHealth health,
            ServerWarmth warmth) {
        this.backendServer = backendServer;
        this.takesNewWork = takesNewWork;
        this.health = health;
        this.warmth = warmth;
    }

    BackendServer backendServer() {
        return backendServer;
    }

    ServerHealth health() {
        return health;
    }

    ServerWarmth warmth() {
        return warmth;
    }

    boolean takesNewWork() {
        return takesNewWork;
    }

    /**
     * Follows a change ticket. A server that comes back, or that is another process than before, is
     * cold.
     *
     * @param changed the new description
     * @param nowTakesNewWork whether it takes new work now
     * @param now monotonic milliseconds
     */
    void change(BackendServer changed, boolean nowTakesNewWork, long now) {
        boolean moved = !changed.address().equals(backendServer.address());
        if (moved || (nowTakesNewWork && !takesNewWork)) {
            warmth.startCold(now);
        }
        warmth.resize(changed.slots(), changed.coldSlots());
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
     * Takes a load report in.
     *
     * @param report what the server said
     * @param now monotonic milliseconds
     */
    void hear(LoadReport report, long now) {
        heardAt = now;
        probeFailures = 0;
        if (report.requestsInProgress() >= 0) {
            reportedLoad = report.requestsInProgress();
        }
    }

    /**
     * Tells whether a probe is due.
     *
     * @param now monotonic milliseconds
     * @param intervalMilliseconds the least time since the last word of the server
     * @return true if the server was silent for that long and no probe is on its way
     */
    boolean isProbeDue(long now, long intervalMilliseconds) {
        return !probing && now - Math.max(heardAt, probedAt) >= intervalMilliseconds;
    }

    /**
     * Counts a probe that found no answer in time.
     *
     * @return how many such probes there were since the server was last heard
     */
    int countProbeFailure() {
        probeFailures++;
        return probeFailures;
    }

    boolean hasProbeFailures() {
        return probeFailures > 0;
    }

    boolean isWordAskDue(long now) {
        return now - askedForWordAt >= WORD_ASK_INTERVAL_MILLISECONDS;
    }

    void askedForWord(long now) {
        askedForWordAt = now;
    }

    /**
     * Makes heartbeats name this server although it is warm.
     *
     * @param until monotonic milliseconds
     */
    void nameUntil(long until) {
        namedUntil = until;
    }

    boolean isNamed(long now) {
        return now < namedUntil;
    }

    void beginProbe(long now) {
        probing = true;
        probedAt = now;
    }

    void endProbe() {
        probing = false;
    }

    /**
     * Remembers a request whose connection broke, and makes a probe due: the server may have
     * stopped because of it.
     *
     * @param contentHash the hash of the request
     * @param now monotonic milliseconds
     */
    void rememberBroken(String contentHash, long now) {
        if (brokenRequests.size() < BROKEN_REQUESTS_KEPT) {
            brokenRequests.add(new BrokenRequest(contentHash, now));
        }
        heardAt = now - BROKEN_REQUEST_MEMORY_MILLISECONDS;
        probedAt = heardAt;
    }

    /**
     * Takes out the remembered requests, now that the server is known to have stopped.
     *
     * @param now monotonic milliseconds
     * @return the hashes of requests that were in progress shortly before
     */
    List<String> takeBroken(long now) {
        List<String> hashes =
                brokenRequests.stream()
                        .filter(broken -> now - broken.at < BROKEN_REQUEST_MEMORY_MILLISECONDS)
                        .map(BrokenRequest::contentHash)
                        .distinct()
                        .toList();
        brokenRequests.clear();
        return hashes;
    }

    ServerCandidate candidate(String availabilityZone, long now, double typicalMilliseconds) {
        return new ServerCandidate(
                backendServer.name(),
                !warmth.isWarm(),
                backendServer.availabilityZone().equals(availabilityZone),
                health.score(now, typicalMilliseconds),
                requestsInProgress,
                reportedLoad);
    }

    private record BrokenRequest(String contentHash, long at) {}
}
