package org.siskinramp.attempt;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/** Says why an attempt ended without a whole answer. */
public enum AttemptFailure {
    /** The permission had lapsed, so nothing was sent. */
    NOT_PERMITTED(true),
    /** No connection could be opened: nobody listens. */
    CONNECTION_REFUSED(true),
    /** No connection was opened in time. */
    CONNECTION_TIMED_OUT(true),
    /** The server said that it did not run the request because it is full. */
    SHED(true),
    /** The server said that it did not run the request because it is leaving. */
    LEAVING(true),
    /** Another server has the address; it said that it did not run the request. */
    WRONG_SERVER(true),
    /** The connection broke after the first byte was sent. */
    CONNECTION_BROKEN(false),
    /** The body of the answer ended early. */
    ANSWER_INCOMPLETE(false),
    /** The answer names another request. */
    ANSWER_CROSSED(false),
    /** The answer lacks the proof that it is the server's own, or promises what it cannot. */
    ANSWER_UNPROVEN(false),
    /** The answer is larger than the limit. */
    ANSWER_TOO_LARGE(false),
    /** The answer went on past a limit of bytes or time without an end in sight. */
    ANSWER_ENDLESS(false),
    /** No whole answer came before the deadline. */
    TIMED_OUT(false),
    /** The attempt was cancelled by this host. */
    CANCELLED(false);

    private final boolean notRun;

    AttemptFailure(boolean notRun) {
        this.notRun = notRun;
    }

    /**
     * Finds a failure by its word.
     *
     * @param word the word, as a log line holds it
     * @return the failure, or empty if this version has none of that word
     */
    public static Optional<AttemptFailure> ofWord(String word) {
        return Stream.of(values()).filter(failure -> failure.word().equals(word)).findFirst();
    }

    /**
     * Returns the word that log lines use.
     *
     * @return the name in lower case
     */
    public String word() {
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
     * Tells whether the server cut the connection of a request that it had got.
     *
     * @return true if the server may have ended
     */
    public boolean isBreak() {
        return this == CONNECTION_BROKEN || this == ANSWER_INCOMPLETE;
    }

    /**
     * Tells whether the request reached the server, as far as is known.
     *
     * @return false if no byte of it was sent
     */
    public boolean isArrival() {
        return this != NOT_PERMITTED && this != CONNECTION_REFUSED && this != CONNECTION_TIMED_OUT;
    }
}
