package org.siskinramp.daemon.caller;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.server.Request;
import org.siskinramp.time.Clock;

/**
 * Parses the requests that a caller sends on one connection behind the current one, and starts
 * those that may run at the same time. Load pattern: a caller pipelines idempotent requests, whose
 * time limits are too short to wait for those before them.
 *
 * <p>The HTTP connection reads the same bytes later, one request at a time, and takes the started
 * requests in order. This class is not told of any bytes while no request is current.
 */
final class LookAhead {

    /** Requests of one connection in progress, the current one included. */
    static final int REQUEST_LIMIT = 8;

    /** Bounds the memory for parsed heads; the arrival of those beyond is noted when parsed. */
    static final int PARSED_LIMIT = 16;

    /** What has been received on the connection and the HTTP connection has not read. */
    interface Input {

        /** Returns a copy of the bytes after some that are skipped; empty if there are none. */
        ByteBuffer copyFrom(int skippedBytes);

        /** Tells whether the caller is known to have closed the connection. */
        boolean isClosedByCaller();
    }

    private final Input input;
    private final HeadParser parser;
    private final EarlyStarter starter;
    private final BodyMemoryBudget memoryBudget;
    private final Clock clock;
    private final Deque<EarlyRequest> requests = new ArrayDeque<>();
    private boolean active;
    private boolean mayStart;
    private boolean closed;

    LookAhead(
            Input input,
            HeadParser parser,
            EarlyStarter starter,
            BodyMemoryBudget memoryBudget,
            Clock clock) {
        this.input = input;
        this.parser = parser;
        this.starter = starter;
        this.memoryBudget = memoryBudget;
        this.clock = clock;
    }

    /**
     * Begins to look at what follows the current request, which is in progress.
     *
     * @param newMayStart whether others may run beside the current request; otherwise only the time
     *     of their arrival is noted
     */
    void begin(boolean newMayStart) {
        synchronized (this) {
            active = !closed;
            mayStart = newMayStart;
        }
        advance();
    }

    /** Looks no further until the next request is in progress. */
    synchronized void pause() {
        active = false;
    }

    /** Parses what has arrived, and starts requests as far as the limits allow. */
    void advance() {
        List<EarlyRequest> accepted = new ArrayList<>();
        synchronized (this) {
            if (active && !starter.closesConnections()) {
                parse();
                if (mayStart) {
                    decide(accepted);
                }
            }
        }
        accepted.forEach(early -> starter.start(early, () -> !input.isClosedByCaller()));
    }

    private void parse() {
        if (requests.size() >= PARSED_LIMIT || isEndOfLook(requests.peekLast())) {
            return;
        }
        int parsedBytes = requests.stream().mapToInt(early -> early.head().lengthBytes()).sum();
        ByteBuffer bytes = input.copyFrom(parsedBytes);
        long arrivedMilliseconds = clock.monotonicMilliseconds();
        while (bytes.hasRemaining()
                && requests.size() < PARSED_LIMIT
                && !isEndOfLook(requests.peekLast())) {
            Optional<EarlyRequest> next = parseNext(bytes, arrivedMilliseconds);
            if (next.isEmpty()) {
                return;
            }
            requests.add(next.get());
        }
    }

    private Optional<EarlyRequest> parseNext(ByteBuffer bytes, long arrivedMilliseconds) {
        try {
            return parser.parse(bytes)
                    .map(head -> new EarlyRequest(head, arrivedMilliseconds, memoryBudget));
        } catch (RuntimeException invalidTarget) {
            // Jetty throws several types for targets such as "/%zz", and rejects them in their
            // turn.
            return Optional.empty();
        }
    }

    private static boolean isEndOfLook(EarlyRequest last) {
        return last != null && (!last.head().isPlain() || last.head().closesConnection());
    }

    private void decide(List<EarlyRequest> accepted) {
        int inProgress = 1;
        for (EarlyRequest early : requests) {
            if (inProgress >= REQUEST_LIMIT) {
                return;
            }
            if (early.state() == EarlyRequest.State.PARSED) {
                starter.decide(early);
                if (early.state() == EarlyRequest.State.STARTED) {
                    accepted.add(early);
                }
            }
            if (early.state() == EarlyRequest.State.BLOCKING) {
                return;
            }
            inProgress++;
        }
    }

    /**
     * Takes the request that the HTTP connection has read. If the look-ahead had parsed another
     * one, it is cancelled with all that follow, and nothing more is started on the connection.
     *
     * @return the request as it was parsed early, or empty if it was not
     */
    Optional<EarlyRequest> take(Request read) {
        EarlyRequest next;
        synchronized (this) {
            next = requests.poll();
        }
        if (next == null) {
            return Optional.empty();
        }
        if (next.beginTurn(read)) {
            return Optional.of(next);
        }
        next.cancel();
        close();
        return Optional.empty();
    }

    /** Tells whether requests behind the current one have been started. */
    synchronized boolean hasStarted() {
        return requests.stream().anyMatch(early -> early.state() == EarlyRequest.State.STARTED);
    }

    /** Cancels all requests that wait for their turn, and starts no more on this connection. */
    void close() {
        List<EarlyRequest> cancelled;
        synchronized (this) {
            active = false;
            closed = true;
            cancelled = List.copyOf(requests);
            requests.clear();
        }
        cancelled.forEach(EarlyRequest::cancel);
    }
}
