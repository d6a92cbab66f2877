package org.siskinramp.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.request.Answer;
import org.siskinramp.request.CallerConnection;
import org.siskinramp.request.Request;
import org.siskinramp.route.Route;

/** State of one request from arrival to completion. Guarded by the lock of the gateway. */
final class RequestContext {

    private Request request;
    private final Route route;
    private final CallerConnection callerConnection;
    private CompletableFuture<Answer> answer = new CompletableFuture<>();
    private final Set<String> triedServers = new HashSet<>();
    private final Set<Long> openAttempts = new HashSet<>();
    private int sendCount;
    private int deliveredAttempts;
    private int searchRounds;
    private long waitingSince;
    private long latestStart;
    private boolean waiting;
    private boolean searching;
    private boolean mayHaveRun;
    private boolean quarantineTrial;
    private boolean retryReserved;
    private boolean completed;

    RequestContext(Request request, Route route, CallerConnection callerConnection) {
        this.request = request;
        this.route = route;
        this.callerConnection = callerConnection;
    }

    Request request() {
        return request;
    }

    Route route() {
        return route;
    }

    /** Returns the rank by which the request is ordered among waiting ones, 0 is the first. */
    int rank() {
        int routeRank = route.rank();
        return request.workspace().map(owner -> owner.rankOf(routeRank)).orElse(routeRank);
    }

    CallerConnection callerConnection() {
        return callerConnection;
    }

    /** Returns the future of the answer until the request is completed. */
    CompletableFuture<Answer> answer() {
        return answer;
    }

    void beginWaiting(long now, long newLatestStart) {
        waiting = true;
        searchRounds = 0;
        waitingSince = now;
        latestStart = newLatestStart;
    }

    void endWaiting() {
        waiting = false;
    }

    boolean isWaiting() {
        return waiting;
    }

    /** Returns when the request must start to be answered in time, in monotonic milliseconds. */
    long latestStart() {
        return latestStart;
    }

    long waitedMilliseconds(long now) {
        return now - waitingSince;
    }

    void setSearching(boolean value) {
        searching = value;
    }

    boolean isSearching() {
        return searching;
    }

    void countSearchRound() {
        searchRounds++;
    }

    /** Returns how many rounds of the current search found no acceptable server. */
    int searchRounds() {
        return searchRounds;
    }

    void beginAttempt(long number, String server) {
        sendCount++;
        openAttempts.add(number);
        triedServers.add(server);
    }

    /**
     * Records the end of an attempt. An attempt that did not reach the server does not count
     * towards the attempt limit.
     *
     * @param number the attempt's number
     * @param delivered whether the request reached the server, as far as is known
     * @param possiblyRan whether the server may have run the request
     */
    void endAttempt(long number, boolean delivered, boolean possiblyRan) {
        openAttempts.remove(number);
        deliveredAttempts += delivered ? 1 : 0;
        mayHaveRun |= possiblyRan;
    }

    Set<Long> openAttempts() {
        return openAttempts;
    }

    boolean hasTried(String server) {
        return triedServers.contains(server);
    }

    /** Returns how often the request was sent, including failed connections. */
    int sendCount() {
        return sendCount;
    }

    /** Returns how many attempts reached a server, as far as is known. */
    int deliveredAttempts() {
        return deliveredAttempts;
    }

    /** Tells whether a server may have run the request. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Marks the request as the one trial that is sent although its content is quarantined. */
    void markQuarantineTrial() {
        quarantineTrial = true;
    }

    boolean isQuarantineTrial() {
        return quarantineTrial;
    }

    void setRetryReserved(boolean value) {
        retryReserved = value;
    }

    /** Tells whether a retry is reserved for the request in the retry budget. */
    boolean hasReservedRetry() {
        return retryReserved;
    }

    /**
     * Marks the request as completed and drops its body and its future, since timers refer to this
     * object until the deadline.
     *
     * @return the future to complete; empty if the request was already completed
     */
    Optional<CompletableFuture<Answer>> tryComplete() {
        if (completed) {
            return Optional.empty();
        }
        completed = true;
        waiting = false;
        CompletableFuture<Answer> future = answer;
        answer = null;
        request = request.withoutBody();
        return Optional.of(future);
    }

    boolean isCompleted() {
        return completed;
    }
}
