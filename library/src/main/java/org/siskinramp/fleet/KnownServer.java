package org.siskinramp.fleet;

import org.siskinramp.attempt.LoadReport;
import org.siskinramp.configuration.BackendServer;

/**
 * Keeps the state of one backend server as this host sees it: its entry, its last load report, and
 * the outcomes of recent attempts. Guarded by the lock of its owner.
 */
public final class KnownServer {

    /**
     * How long after a pause the server is deprioritised while a request of this host is in flight
     * to it.
     */
    private static final long PAUSE_RECOVERY_MILLISECONDS = 1_000;

    /**
     * How long the announcements of a server are kept after it expired, since its entry may
     * reappear.
     */
    private static final long ANNOUNCEMENT_RETENTION_MILLISECONDS = 600_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private ServerEntry entry;
    private long warmUpUntil;
    private long expiresAt = Long.MAX_VALUE;
    private final LoadEstimate load = new LoadEstimate();
    private int inFlight;
    private int probesInFlight;
    private boolean answered;
    private OutlierDetection outlierDetection = new OutlierDetection();
    private boolean departing;
    private long pausedUntil = NEVER;
    private AnnouncedRateLimit rateLimit = new AnnouncedRateLimit();

    KnownServer(ServerEntry entry, long now) {
        this.entry = entry;
        this.warmUpUntil = now + entry.remainingWarmUpMilliseconds();
    }

    void update(ServerEntry newer, long now) {
        if (newer.startedMilliseconds() != entry.startedMilliseconds()) {
            resetObservations();
        }
        entry = newer;
        expiresAt = Long.MAX_VALUE;
        warmUpUntil =
                newer.remainingWarmUpMilliseconds() > 0
                        ? now + newer.remainingWarmUpMilliseconds()
                        : warmUpUntil;
    }

    private void resetObservations() {
        answered = false;
        load.forgetReport();
        outlierDetection = new OutlierDetection();
        departing = false;
        pausedUntil = NEVER;
        rateLimit = new AnnouncedRateLimit();
    }

    /**
     * Tells whether the server must be kept although it expired: it has a request of this host in
     * flight, or announced a shutdown, a pause or a rate limit recently.
     */
    boolean mustBeRetained(long now) {
        boolean hasAnnouncement = departing || isPaused(now) || rateLimit.isActive();
        return inFlight > 0
                || (hasAnnouncement && now - expiresAt < ANNOUNCEMENT_RETENTION_MILLISECONDS);
    }

    void expireAt(long milliseconds) {
        expiresAt = Math.min(expiresAt, milliseconds);
    }

    /** Tells whether the entry was removed and the server has not expired yet. */
    boolean isInGracePeriod(long now) {
        return expiresAt != Long.MAX_VALUE && !isExpired(now);
    }

    boolean isExpired(long now) {
        return now >= expiresAt;
    }

    /**
     * Returns the entry of the server.
     *
     * @return the newest entry
     */
    public ServerEntry entry() {
        return entry;
    }

    /**
     * Returns the description of the server.
     *
     * @return the backend server
     */
    public BackendServer server() {
        return entry.server();
    }

    /**
     * Tells whether the server is in an availability zone.
     *
     * @param availabilityZone the zone
     * @return true if it is in that zone
     */
    public boolean isIn(String availabilityZone) {
        return server().availabilityZone().equals(availabilityZone);
    }

    /**
     * Tells whether the server is in rotation. A paused server is.
     *
     * @param now monotonic milliseconds
     * @return false if it drains, announced its shutdown, or expired
     */
    public boolean isInRotation(long now) {
        return !entry.leaving() && !departing && !isExpired(now);
    }

    /**
     * Tells whether the server asked for a pause that has not ended.
     *
     * @param now monotonic milliseconds
     * @return true while this host must send it no requests
     */
    public boolean isPaused(long now) {
        return now < pausedUntil;
    }

    /**
     * Returns when the pause of the server ends.
     *
     * @return monotonic milliseconds; a time in the past if it was never paused
     */
    public long pausedUntil() {
        return pausedUntil;
    }

    /**
     * Records that the server announced its shutdown. This server process gets no new requests,
     * whatever its entry says.
     *
     * @return true if the shutdown was not known before
     */
    public boolean markDeparting() {
        boolean isNew = !departing;
        departing = true;
        return isNew;
    }

    /**
     * Pauses the server. Of several pauses the one that ends last counts.
     *
     * @param milliseconds when the pause ends, in monotonic milliseconds
     * @return true if the pause ends later than before
     */
    public boolean pauseUntil(long milliseconds) {
        boolean isExtended = milliseconds > pausedUntil;
        pausedUntil = Math.max(pausedUntil, milliseconds);
        return isExtended;
    }

    /**
     * Returns the rate limit that this server process announces.
     *
     * @return the rate limit, which may be inactive
     */
    public AnnouncedRateLimit rateLimit() {
        return rateLimit;
    }

    private boolean isRecoveringFromPause(long now) {
        return now < pausedUntil + PAUSE_RECOVERY_MILLISECONDS;
    }

    /**
     * Tells whether the server is cold.
     *
     * @param now monotonic milliseconds
     * @return true while it warms up and can process only a few requests per second
     */
    public boolean isCold(long now) {
        return now < warmUpUntil;
    }

    /**
     * Tells whether the server may be chosen only if no other server is free.
     *
     * @param now monotonic milliseconds
     * @return true after failures and while it reports itself unhealthy; also while a request of
     *     this host is in flight to it shortly after a pause or during its trial after an ejection
     */
    public boolean isDeprioritised(long now) {
        return outlierDetection.isDeprioritised(now)
                || (inFlight > 0 && (outlierDetection.isOnTrial() || isRecoveringFromPause(now)));
    }

    /**
     * Returns the age of the last load report.
     *
     * @param now monotonic milliseconds
     * @return milliseconds; very large if there is no load report
     */
    public long loadReportAgeMilliseconds(long now) {
        return now - load.reportedAt();
    }

    /**
     * Tells whether the server has reported its load.
     *
     * @return true if a load report is known
     */
    public boolean hasLoadReport() {
        return load.isReported();
    }

    /**
     * Estimates how many requests are running or waiting on the server: those of the last load
     * report plus those that this host has sent since.
     *
     * @return the estimate, at least the number of this host's requests in flight
     */
    public int estimatedRequestsInProgress() {
        return Math.max(inFlight, load.requestsInProgress());
    }

    /**
     * Tells whether the server could run another request by its last load report.
     *
     * @return true if a slot is free; false if the load is unknown
     */
    public boolean hasFreeSlot() {
        return hasLoadReport() && estimatedRequestsInProgress() < server().slots();
    }

    /**
     * Returns the service time of the server, relative to its usual service time.
     *
     * @return percent, where 100 is usual
     */
    public int serviceTimePercent() {
        return load.serviceTimePercent();
    }

    /**
     * Returns how many requests of this host are in flight to the server.
     *
     * @return the requests in flight
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Tells whether a probe of the server is in flight.
     *
     * @return true until the probe ends
     */
    public boolean isProbeInFlight() {
        return probesInFlight > 0;
    }

    /**
     * Tells whether the server does not report its load, so that probing it is useless.
     *
     * @return true if it has answered and no answer held a load report
     */
    public boolean neverReportsLoad() {
        return answered && !hasLoadReport();
    }

    /** Records that a probe was sent. */
    public void beginProbe() {
        probesInFlight++;
    }

    /** Records that a probe ended. */
    public void endProbe() {
        probesInFlight--;
    }

    /** Records that a request was sent. */
    public void beginRequest() {
        inFlight++;
        load.requestSent();
    }

    /**
     * Records that a request ended.
     *
     * @param sentAt when it was sent, in monotonic milliseconds
     */
    public void endRequest(long sentAt) {
        inFlight--;
        load.requestEnded(sentAt);
    }

    /**
     * Records the load report of an answer to a request or a probe.
     *
     * @param report the load report
     * @param now monotonic milliseconds
     */
    public void recordAnswerLoadReport(LoadReport report, long now) {
        answered = true;
        recordLoadReport(report, now);
    }

    /**
     * Records the load report of a failed attempt or probe. A failure without a load report does
     * not show that the server never reports its load.
     *
     * @param report the load report, which may lack the load
     * @param now monotonic milliseconds
     */
    public void recordLoadReport(LoadReport report, long now) {
        if (report.hasLoad()) {
            load.update(report, now);
        }
        if (report.remainingWarmUpMilliseconds() >= 0) {
            warmUpUntil = now + report.remainingWarmUpMilliseconds();
        }
    }

    /**
     * Records the result of a health check.
     *
     * @param healthy false if the server reports that it drains or is unhealthy
     * @param now monotonic milliseconds
     */
    public void recordHealthCheck(boolean healthy, long now) {
        outlierDetection.recordHealthCheck(healthy, now);
    }

    /**
     * Ejects the server after an endless answer: deprioritises it for a time, and after that, while
     * a request of this host is in flight to it, until one succeeds.
     *
     * @param now monotonic milliseconds
     * @return false if it is ejected already
     */
    public boolean eject(long now) {
        return outlierDetection.eject(now);
    }

    /**
     * Returns until when the server is ejected because of an endless answer.
     *
     * @return monotonic milliseconds; a time in the past if it was never ejected
     */
    public long ejectedUntil() {
        return outlierDetection.ejectedUntil();
    }

    /**
     * Records a successful answer.
     *
     * @param now monotonic milliseconds
     */
    public void recordSuccess(long now) {
        outlierDetection.recordSuccess(now);
    }

    /**
     * Records an attempt that reached the server and failed: with an answer that reports a failure
     * or is invalid, with a refusal, a broken connection or a time-out.
     *
     * @param now monotonic milliseconds
     */
    public void recordFailure(long now) {
        outlierDetection.recordFailure(now);
    }

    /**
     * Withdraws a recorded failure that was not a fault of the server, if it works otherwise.
     *
     * @param now monotonic milliseconds
     * @return false if the server has not succeeded recently, so that the failure counts
     */
    public boolean excuseFailure(long now) {
        return outlierDetection.excuseFailure(now);
    }

    /**
     * Records that the server could not be reached, that another one has its address, or that a
     * probe of it failed, and deprioritises it for a time.
     *
     * @param now monotonic milliseconds
     */
    public void recordConnectionFailure(long now) {
        outlierDetection.recordConnectionFailure(now);
    }
}
