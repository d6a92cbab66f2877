package org.siskinramp.daemon.caller;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.server.Request;
import org.siskinramp.request.Answer;
import org.siskinramp.request.CallerConnection;
import org.siskinramp.request.Header;
import org.siskinramp.result.Futures;
import org.siskinramp.result.ResultException;

/**
 * A request that was parsed while another one of its connection is in progress. It waits for its
 * turn, which is when the HTTP connection reads it, and may be started before.
 */
final class EarlyRequest {

    /** The outcome of the early look at a request. */
    enum State {
        /** Not looked at yet, since too many requests of the connection are in progress. */
        PARSED,
        /** Must wait for its turn, and so must those behind it. */
        BLOCKING,
        /** Refused; the refusal is returned in its turn. */
        REFUSED,
        /** In progress or answered. */
        STARTED,
        /** Its answer did not fit into memory, so that it is processed again in its turn. */
        DROPPED,
        /** Cancelled before its turn. */
        CANCELLED
    }

    /** Covers the objects that an answer consists of. */
    private static final int ANSWER_OVERHEAD_BYTES = 512;

    private static final int HEADER_OVERHEAD_BYTES = 100;

    private final ParsedHead head;
    private final CallerRequest request;
    private final BodyMemoryBudget memoryBudget;
    private final CompletableFuture<Answer> answer = new CompletableFuture<>();
    private State state = State.PARSED;
    private long startedMilliseconds;
    private boolean inTurn;
    private AcceptedRequest accepted;
    private ResultException refusal;
    private Runnable onRelease = () -> {};
    private Optional<BodyMemoryBudget.Reservation> reservation = Optional.empty();

    EarlyRequest(ParsedHead head, long arrivedMilliseconds, BodyMemoryBudget memoryBudget) {
        this.head = head;
        this.request = head.toRequest(arrivedMilliseconds);
        this.memoryBudget = memoryBudget;
    }

    ParsedHead head() {
        return head;
    }

    CallerRequest request() {
        return request;
    }

    synchronized State state() {
        return state;
    }

    synchronized AcceptedRequest accepted() {
        return accepted;
    }

    synchronized ResultException refusal() {
        return refusal;
    }

    /** Returns the monotonic milliseconds at which the request was started. */
    synchronized long startedMilliseconds() {
        return startedMilliseconds;
    }

    /** Returns the answer, which is cancelled if the request is. */
    CompletableFuture<Answer> answer() {
        return answer;
    }

    synchronized void block() {
        state = State.BLOCKING;
    }

    synchronized void refuse(ResultException result) {
        state = State.REFUSED;
        refusal = result;
    }

    /**
     * Accepts the request, which is to be started.
     *
     * @param release runs once when the request is no longer in progress
     */
    synchronized void accept(
            AcceptedRequest newAccepted, long acceptedMilliseconds, Runnable release) {
        startedMilliseconds = acceptedMilliseconds;
        state = State.STARTED;
        accepted = newAccepted;
        onRelease = release;
    }

    /** Processes the accepted request, unless it has been cancelled. */
    void start(RequestProcessor processor, CallerConnection caller) {
        if (answer.isDone()) {
            return;
        }
        CompletableFuture<Answer> processing =
                processor.start(
                        accepted(), new byte[0], () -> !answer.isCancelled() && caller.isOpen());
        Futures.whenDone(
                answer,
                (value, failure) -> {
                    if (answer.isCancelled()) {
                        processing.cancel(false);
                    }
                });
        Futures.whenDone(processing, this::settle);
    }

    private void settle(Answer value, Throwable failure) {
        if (failure != null) {
            answer.completeExceptionally(Futures.causeOf(failure));
        } else if (reserve(value)) {
            answer.complete(value);
        } else {
            release();
        }
    }

    /** Returns false if the answer has to wait for its turn and there is no memory for it. */
    private synchronized boolean reserve(Answer value) {
        if (inTurn || state != State.STARTED) {
            return true;
        }
        reservation = memoryBudget.reserveSpare(bytesOf(value));
        if (reservation.isEmpty()) {
            state = State.DROPPED;
        }
        return reservation.isPresent();
    }

    private static long bytesOf(Answer value) {
        long bytes = ANSWER_OVERHEAD_BYTES + (long) value.body().length;
        for (Header header : value.headers()) {
            bytes += HEADER_OVERHEAD_BYTES;
            bytes += (long) header.name().length() + header.value().length();
        }
        return bytes;
    }

    /**
     * Begins the turn of the request if the HTTP connection has read the same head.
     *
     * @return false if it has read another one
     */
    synchronized boolean beginTurn(Request read) {
        inTurn = head.matches(read);
        return inTurn;
    }

    /** Cancels a request that has been started, and gives back its memory. */
    void cancel() {
        synchronized (this) {
            state = State.CANCELLED;
        }
        answer.cancel(false);
        release();
    }

    /** Gives back the memory of the answer; the request is no longer in progress. */
    void release() {
        Runnable action;
        synchronized (this) {
            action = onRelease;
            onRelease = () -> {};
            reservation.ifPresent(BodyMemoryBudget.Reservation::release);
            reservation = Optional.empty();
        }
        action.run();
    }
}
