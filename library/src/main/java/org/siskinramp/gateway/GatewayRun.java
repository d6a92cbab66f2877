package org.siskinramp.gateway;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.request.Answer;
import org.siskinramp.request.Request;
import org.siskinramp.route.Route;

/** Follows one request from its arrival to its end. It is guarded by the lock of the gateway. */
final class GatewayRun {

    private final Request request;
    private final Route route;
    private final CompletableFuture<Answer> answer = new CompletableFuture<>();
    private final Set<String> tried = new HashSet<>();
    private final Set<Long> attempts = new HashSet<>();
    private int sendCount;
    private int arrivals;
    private int rounds;
    private long waitingSince;
    private long latestStart;
    private boolean waiting;
    private boolean searching;
    private boolean mayHaveRun;
    private boolean trial;
    private boolean repeatReserved;
    private boolean ended;

    GatewayRun(Request request, Route route) {
        this.request = request;
        this.route = route;
    }

    Request request() {
        return request;
    }

    Route route() {
        return route;
    }

    CompletableFuture<Answer> answer() {
        return answer;
    }

    void beginWaiting(long now, long startAtTheLatest) {
        waiting = true;
        rounds = 0;
        waitingSince = now;
        latestStart = startAtTheLatest;
    }

    void endWaiting() {
        waiting = false;
    }

    boolean isWaiting() {
        return waiting;
    }

    /** Returns when it must start to be answered in time, in monotonic milliseconds. */
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

    void countRound() {
        rounds++;
    }

    /** Returns how many rounds of its search found no good server. */
    int rounds() {
        return rounds;
    }

    void beginAttempt(long number, String server) {
        sendCount++;
        attempts.add(number);
        tried.add(server);
    }

    /** Notes the end of an attempt; one that did not arrive does not count as an attempt. */
    void endAttempt(long number, boolean arrived, boolean ran) {
        attempts.remove(number);
        arrivals += arrived ? 1 : 0;
        mayHaveRun |= ran;
    }

    Set<Long> openAttempts() {
        return attempts;
    }

    boolean hasTried(String server) {
        return tried.contains(server);
    }

    /** Returns how often it was sent, connections that failed included. */
    int sendCount() {
        return sendCount;
    }

    /** Returns how many servers it has reached, as far as is known. */
    int arrivals() {
        return arrivals;
    }

    /** Tells whether a server may have run it. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Lets it pass though its copies are held back. */
    void markAsTrial() {
        trial = true;
    }

    boolean isTrial() {
        return trial;
    }

    void reserveRepeat(boolean value) {
        repeatReserved = value;
    }

    /** Tells whether its next attempt was set aside in the budget of repeats. */
    boolean hasReservedRepeat() {
        return repeatReserved;
    }

    /** Ends it once; returns false if it had ended before. */
    boolean end() {
        boolean first = !ended;
        ended = true;
        waiting = false;
        return first;
    }

    boolean isEnded() {
        return ended;
    }
}
