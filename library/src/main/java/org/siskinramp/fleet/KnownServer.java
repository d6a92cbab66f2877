package org.siskinramp.fleet;

import org.siskinramp.attempt.LoadReport;
import org.siskinramp.configuration.BackendServer;

/**
 * Keeps what this host believes of one backend server: its entry, its last load report, and how its
 * recent attempts ended. It is guarded by the lock of its owner.
 */
public final class KnownServer {

    /** After a pause it is sent one request at a time for this long. */
    private static final long RETURN_MILLISECONDS = 1_000;

    /** For how long what it announced is kept once its entry is gone, which may come back. */
    private static final long ANNOUNCEMENTS_KEPT_MILLISECONDS = 600_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private ServerEntry entry;
    private long coldUntil;
    private long goneAt = Long.MAX_VALUE;
    private int running = LoadReport.UNKNOWN;
    private int waiting;
    private int pacePercent = 100;
    private long seenAt = NEVER;
    private int sentSinceSeen;
    private int inFlight;
    private int probes;
    private boolean answered;
    private Suspicion suspicion = new Suspicion();
    private boolean departing;
    private long pausedUntil = NEVER;

    KnownServer(ServerEntry entry, long now) {
        this.entry = entry;
        this.coldUntil = now + entry.coldMilliseconds();
    }

    void follow(ServerEntry newer, long now) {
        if (newer.bornMilliseconds() != entry.bornMilliseconds()) {
            forget();
        }
        entry = newer;
        goneAt = Long.MAX_VALUE;
        coldUntil = newer.coldMilliseconds() > 0 ? now + newer.coldMilliseconds() : coldUntil;
    }

    private void forget() {
        answered = false;
        running = LoadReport.UNKNOWN;
        seenAt = NEVER;
        suspicion = new Suspicion();
        departing = false;
        pausedUntil = NEVER;
    }

    /** Tells whether it must not be forgotten though its entry is gone. */
    boolean isKept(long now) {
        boolean announcements = departing || isPaused(now);
        return inFlight > 0 || (announcements && now - goneAt < ANNOUNCEMENTS_KEPT_MILLISECONDS);
    }

    void leaveAt(long milliseconds) {
        goneAt = Math.min(goneAt, milliseconds);
    }

    /** Tells whether its entry went, and it is kept for a time. */
    boolean isLapsing(long now) {
        return goneAt != Long.MAX_VALUE && !isGone(now);
    }

    boolean isGone(long now) {
        return now >= goneAt;
    }

    /**
     * Returns its entry.
     *
     * @return the newest entry
     */
    public ServerEntry entry() {
        return entry;
    }

    /**
     * Returns its description.
     *
     * @return the backend server
     */
    public BackendServer server() {
        return entry.server();
    }

    /**
     * Tells whether it is in an availability zone.
     *
     * @param availabilityZone the zone
     * @return true if it is in that one
     */
    public boolean isIn(String availabilityZone) {
        return server().availabilityZone().equals(availabilityZone);
    }

    /**
     * Tells whether it may get new requests at all.
     *
     * @param now monotonic milliseconds
     * @return false once it drains, announced its end, or its entry is gone
     */
    public boolean isPresent(long now) {
        return !entry.leaving() && !departing && !isGone(now);
    }

    /**
     * Tells whether it asked for a pause that is not over.
     *
     * @param now monotonic milliseconds
     * @return true while it wants no request of this host
     */
    public boolean isPaused(long now) {
        return now < pausedUntil;
    }

    /**
     * Returns when its pause ends.
     *
     * @return monotonic milliseconds; long ago if it asked for none
     */
    public long pausedUntil() {
        return pausedUntil;
    }

    /**
     * Takes in that it ends soon. This start of it gets no new request any more, whatever its entry
     * says.
     *
     * @return true if this was not known
     */
    public boolean depart() {
        boolean fresh = !departing;
        departing = true;
        return fresh;
    }

    /**
     * Takes in that it wants no request for a time. Of several such times the last end counts.
     *
     * @param milliseconds when the time ends, in monotonic milliseconds
     * @return true if it ends later than was known
     */
    public boolean pauseUntil(long milliseconds) {
        boolean longer = milliseconds > pausedUntil;
        pausedUntil = Math.max(pausedUntil, milliseconds);
        return longer;
    }

    private boolean isReturning(long now) {
        return now < pausedUntil + RETURN_MILLISECONDS;
    }

    /**
     * Tells whether it is cold.
     *
     * @param now monotonic milliseconds
     * @return true while it bears only a few requests a second
     */
    public boolean isCold(long now) {
        return now < coldUntil;
    }

    /**
     * Tells whether it should be passed over while others are free.
     *
     * @param now monotonic milliseconds
     * @return true after failures, while it says that it is ill, and just after a pause if it runs
     *     a request of this host
     */
    public boolean isSuspect(long now) {
        return suspicion.isHeld(now)
                || (inFlight > 0 && (suspicion.isOnTrial() || isReturning(now)));
    }

    /**
     * Returns the age of the last load report.
     *
     * @param now monotonic milliseconds
     * @return milliseconds
     */
    public long sightAge(long now) {
        return now - seenAt;
    }

    /**
     * Tells whether it has told its load.
     *
     * @return true if a load report is known
     */
    public boolean tellsLoad() {
        return running >= 0;
    }

    /**
     * Estimates how many requests it is running, those that this host sent since the report
     * included.
     *
     * @return the estimate, not below the number of this host's own requests
     */
    public int occupied() {
        return Math.max(inFlight, Math.max(0, running) + Math.max(0, waiting) + sentSinceSeen);
    }

    /**
     * Returns how long work takes on it.
     *
     * @return percent, where 100 is usual
     */
    public int pacePercent() {
        return pacePercent;
    }

    /**
     * Counts the requests of this host that it is running.
     *
     * @return the requests in flight
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Tells whether a probe is on its way.
     *
     * @return true until the probe ends
     */
    public boolean isProbed() {
        return probes > 0;
    }

    /**
     * Tells whether asking it for its load is of no use.
     *
     * @return true if it answered and never told its load
     */
    public boolean isSilent() {
        return answered && !tellsLoad();
    }

    /** Notes that a probe was sent. */
    public void beginProbe() {
        probes++;
    }

    /** Notes that a probe ended. */
    public void endProbe() {
        probes--;
    }

    /** Notes that a request was sent. */
    public void beginRequest() {
        inFlight++;
        sentSinceSeen++;
    }

    /**
     * Notes that a request ended.
     *
     * @param sentAt when it was sent, in monotonic milliseconds
     */
    public void endRequest(long sentAt) {
        inFlight--;
        if (sentAt >= seenAt) {
            sentSinceSeen = Math.max(0, sentSinceSeen - 1);
        } else if (running > 0) {
            running--;
        }
    }

    /**
     * Takes the load report of an answer in.
     *
     * @param report what the server told
     * @param now monotonic milliseconds
     */
    public void seeAnswer(LoadReport report, long now) {
        answered = true;
        see(report, now);
    }

    /**
     * Takes in what is known of the load after a failure. A failure does not show that the server
     * never tells its load.
     *
     * @param report what the server told, or a report without load
     * @param now monotonic milliseconds
     */
    public void see(LoadReport report, long now) {
        if (report.tellsLoad()) {
            running = report.requestsInProgress();
            waiting = Math.max(0, report.requestsWaiting());
            pacePercent = report.pacePercent() > 0 ? report.pacePercent() : 100;
            seenAt = now;
            sentSinceSeen = 0;
        }
        if (report.coldMilliseconds() >= 0) {
            coldUntil = now + report.coldMilliseconds();
        }
    }

    /**
     * Notes what its health check told.
     *
     * @param healthy false if it says that it drains or fails
     * @param now monotonic milliseconds
     */
    public void tellHealth(boolean healthy, long now) {
        suspicion.tellHealth(healthy, now);
    }

    /**
     * Passes it over for a while, and then tries it with one request at a time until one succeeds.
     *
     * @param now monotonic milliseconds
     * @return false if it is passed over already
     */
    public boolean eject(long now) {
        return suspicion.eject(now);
    }

    /**
     * Returns until when it is passed over since an answer of it did not end.
     *
     * @return monotonic milliseconds; long ago if none did
     */
    public long ejectedUntil() {
        return suspicion.ejectedUntil();
    }

    /**
     * Notes that it answered as it should.
     *
     * @param now monotonic milliseconds
     */
    public void succeed(long now) {
        suspicion.succeed(now);
    }

    /**
     * Notes that it answered with a failure, or not as it should.
     *
     * @param now monotonic milliseconds
     */
    public void fail(long now) {
        suspicion.fail(now);
    }

    /**
     * Notes that it could not be reached or broke off, and passes it over for a while.
     *
     * @param now monotonic milliseconds
     */
    public void suspect(long now) {
        suspicion.suspect(now);
    }
}
