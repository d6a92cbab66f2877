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
 * Follows one request from its first attempt to its end. Its state is guarded by the lock of the
 * service; the future completes outside it.
 */
public final class RequestRun {

    private final Request request;
    private final CompletableFuture<Answer> answer = new CompletableFuture<>();
    private final List<AttemptRecord> finished = new ArrayList<>();
    private final Map<Long, String> inProgress = new LinkedHashMap<>();
    private final Set<String> tried = new HashSet<>();
    private boolean mayHaveRun;
    private boolean ended;
    private boolean waiting;

    RequestRun(Request request) {
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
     * Returns the answer.
     *
     * @return completes with the whole answer; fails with a {@link
     *     org.siskinramp.result.ResultException}
     */
    public CompletableFuture<Answer> answer() {
        return answer;
    }

    /**
     * Returns the attempts that have ended, in the order of their ends. Ask after the answer is
     * complete.
     *
     * @return the attempts
     */
    public synchronized List<AttemptRecord> attempts() {
        List<AttemptRecord> all = new ArrayList<>(finished);
        inProgress
                .values()
                .forEach(server -> all.add(new AttemptRecord(server, "in_progress", true)));
        return List.copyOf(all);
    }

    synchronized void begin(long attemptNumber, String backendServer) {
        inProgress.put(attemptNumber, backendServer);
        tried.add(backendServer);
    }

    synchronized void finish(long attemptNumber, AttemptRecord record) {
        inProgress.remove(attemptNumber);
        finished.add(record);
        mayHaveRun |= record.mayHaveRun();
    }

    synchronized Set<Long> attemptsInProgress() {
        return Set.copyOf(inProgress.keySet());
    }

    synchronized boolean hasTried(String backendServer) {
        return tried.contains(backendServer);
    }

    synchronized int attemptCount() {
        return finished.size() + inProgress.size();
    }

    synchronized boolean mayHaveRun() {
        return mayHaveRun || !inProgress.isEmpty();
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
