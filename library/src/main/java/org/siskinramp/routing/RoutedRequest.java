package org.siskinramp.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.request.Answer;
import org.siskinramp.request.Request;

/**
 * Holds the state of one request from its arrival to its completion. It is guarded by the lock of
 * the service; the future is completed outside the lock.
 */
public final class RoutedRequest {

    private final Request request;
    private final CompletableFuture<Answer> answer = new CompletableFuture<>();
    private final List<AttemptRecord> finishedAttempts = new ArrayList<>();
    private final Map<Long, String> serversByAttemptInProgress = new LinkedHashMap<>();
    private final Set<String> triedServers = new HashSet<>();
    private boolean mayHaveRun;
    private boolean ended;
    private boolean waiting;

    RoutedRequest(Request request) {
        this.request = request;
    }

    /**
     * Returns the request.
     *
     * @return the request
     */
    public Request request() {
        return request;
    }

    /**
     * Returns the future answer.
     *
     * @return a future that completes with the complete answer, or fails with a {@link
     *     org.siskinramp.result.ResultException}
     */
    public CompletableFuture<Answer> answer() {
        return answer;
    }

    /**
     * Returns the attempts: those that have ended, in the order in which they ended, then those in
     * progress. The list is final only after the answer is complete and no attempt is in progress.
     *
     * @return the attempts
     */
    public synchronized List<AttemptRecord> attempts() {
        List<AttemptRecord> all = new ArrayList<>(finishedAttempts);
        serversByAttemptInProgress
                .values()
                .forEach(server -> all.add(new AttemptRecord(server, "in_progress", true)));
        return List.copyOf(all);
    }

    synchronized void beginAttempt(long attemptNumber, String backendServer) {
        serversByAttemptInProgress.put(attemptNumber, backendServer);
        triedServers.add(backendServer);
    }

    synchronized void finishAttempt(long attemptNumber, AttemptRecord record) {
        serversByAttemptInProgress.remove(attemptNumber);
        finishedAttempts.add(record);
        mayHaveRun |= record.mayHaveRun();
    }

    synchronized Set<Long> attemptsInProgress() {
        return Set.copyOf(serversByAttemptInProgress.keySet());
    }

    synchronized boolean hasTried(String backendServer) {
        return triedServers.contains(backendServer);
    }

    synchronized int attemptCount() {
        return finishedAttempts.size() + serversByAttemptInProgress.size();
    }

    synchronized boolean mayHaveRun() {
        return mayHaveRun || !serversByAttemptInProgress.isEmpty();
    }

    boolean isIdempotent() {
        return request.kind().idempotent();
    }

    boolean isEnded() {
        return ended;
    }

    void end() {
        ended = true;
    }

    boolean isWaiting() {
        return waiting;
    }

    void setWaiting(boolean value) {
        waiting = value;
    }
}
