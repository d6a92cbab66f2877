package org.siskinramp.standin.server;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.siskinramp.request.RequestKey;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.standin.http.HttpExchange;

/** A request on a backend server, from its arrival to its end. */
final class ServerRequest {

    /** The progress of a request on the server. */
    enum State {
        /** Waits for a slot. */
        WAITING,
        /** Runs in a slot. */
        RUNNING,
        /** Finished, cancelled, expired, refused or lost in a crash. */
        ENDED
    }

    private final HttpExchange exchange;
    private final RequestKey key;
    private final long deadlineMilliseconds;
    private State state = State.WAITING;

    private ServerRequest(HttpExchange exchange, RequestKey key, long deadlineMilliseconds) {
        this.exchange = exchange;
        this.key = key;
        this.deadlineMilliseconds = deadlineMilliseconds;
    }

    static ServerRequest of(HttpExchange exchange, long nowMilliseconds) {
        RequestKey key =
                new RequestKey(
                        exchange.header("Caller").orElse(""),
                        exchange.header("Request-Id").orElse(""));
        long deadline =
                exchange.header("Request-Deadline")
                        .map(text -> nowMilliseconds + parseMilliseconds(text))
                        .orElse(Long.MAX_VALUE);
        return new ServerRequest(exchange, key, deadline);
    }

    private static long parseMilliseconds(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException failure) {
            throw new ResultException(
                    ResultCode.REQUEST_INVALID, "Request-Deadline is not a number: " + text);
        }
    }

    HttpExchange exchange() {
        return exchange;
    }

    RequestKey key() {
        return key;
    }

    State state() {
        return state;
    }

    void setState(State next) {
        state = next;
    }

    boolean isExpired(long nowMilliseconds) {
        return nowMilliseconds >= deadlineMilliseconds;
    }

    boolean isIdempotent() {
        return exchange.method().equals("GET") || exchange.method().equals("HEAD");
    }

    String bodyText() {
        return new String(exchange.body(), StandardCharsets.UTF_8);
    }

    AnswerBody toAnswerBody(String server) {
        return new AnswerBody(
                server, key.caller(), key.requestId(), digestOf(exchange.body()), attemptName());
    }

    String attemptName() {
        return exchange.header("Attempt").orElse("");
    }

    static String digestOf(byte[] content) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(content);
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException failure) {
            throw new IllegalStateException(failure);
        }
    }
}
