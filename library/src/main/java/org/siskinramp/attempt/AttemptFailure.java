package org.siskinramp.attempt;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/** Names why an attempt ended without a complete answer. */
public enum AttemptFailure {
    /** The attempt was no longer permitted right before the first byte, so nothing was sent. */
    NOT_PERMITTED(true),
    /** The connection was refused: no process listens at the address. */
    CONNECTION_REFUSED(true),
    /** No connection was opened in time. */
    CONNECTION_TIMED_OUT(true),
    /** The server refused the request without running it because it is overloaded. */
    SHED(true),
    /** The server refused the request without running it because it is draining. */
    LEAVING(true),
    /** Another server process has the address; it refused the request without running it. */
    WRONG_SERVER(true),
    /** The connection broke after the first byte was sent. */
    CONNECTION_BROKEN(false),
    /** The body of the answer ended early. */
    ANSWER_INCOMPLETE(false),
    /** The answer carries the identifier of another request. */
    ANSWER_CROSSED(false),
    /**
     * The answer is a success that lacks the header which shows that it is the server's own, or
     * whose body is encoded; or its status is one of a refusal, such as 503, but the header that
     * the request did not run is missing.
     */
    ANSWER_UNPROVEN(false),
    /** The status of the answer is none that HTTP defines, such as 600. */
    ANSWER_INVALID(false),
    /** The answer is larger than the limit. */
    ANSWER_TOO_LARGE(false),
    /** The answer exceeded a limit of bytes or time and had no known end. */
    ANSWER_ENDLESS(false),
    /** No complete answer arrived before the deadline. */
    TIMED_OUT(false),
    /** The attempt was cancelled by this host. */
    CANCELLED(false);

    private final boolean notRun;

    AttemptFailure(boolean notRun) {
        this.notRun = notRun;
    }

    /**
     * Finds a failure by its name in log lines.
     *
     * @param logName the name used in log lines
     * @return the failure, or empty if this version has no failure of that name
     */
    public static Optional<AttemptFailure> ofLogName(String logName) {
        return Stream.of(values()).filter(failure -> failure.logName().equals(logName)).findFirst();
    }

    /**
     * Returns the name that log lines use.
     *
     * @return the name in lower case
     */
    public String logName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Tells whether the request certainly did not run.
     *
     * @return true if it did not run
     */
    public boolean isNotRun() {
        return notRun;
    }

    /**
     * Tells whether the connection broke after the server had received the request.
     *
     * @return true if the server may have crashed
     */
    public boolean isConnectionBroken() {
        return this == CONNECTION_BROKEN || this == ANSWER_INCOMPLETE;
    }

    /**
     * Tells whether the request may have reached the server.
     *
     * @return false if no byte of it was sent
     */
    public boolean reachedServer() {
        return this != NOT_PERMITTED && this != CONNECTION_REFUSED && this != CONNECTION_TIMED_OUT;
    }
}
