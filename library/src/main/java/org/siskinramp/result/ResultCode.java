package org.siskinramp.result;

/**
 * Names every result that is returned to a caller, an operator or a program.
 *
 * <p>Numbers are stable: a number is never reused for another meaning. {@code docs/RESULT-CODES.md}
 * holds the same table, and a test keeps the two equal.
 */
public enum ResultCode {
    /** The complete answer of a backend server. */
    ANSWERED(100, 200, false, "answered by a backend server"),
    /** The stored answer of the first run of the same request. */
    REPLAYED(101, 200, false, "answer of the earlier run of this request"),
    /** The command took effect. */
    ACCEPTED(102, 200, false, "accepted"),

    /** No service matches the path. */
    SERVICE_UNKNOWN(201, 404, true, "no service has this path"),
    /** The queue of the service on this entry host is full. */
    QUEUE_FULL(202, 503, true, "too many requests are waiting for this service"),
    /** The request cannot be answered before its deadline. */
    DEADLINE_UNREACHABLE(203, 503, true, "the deadline cannot be met"),
    /** The deadline passed while the request was waiting. */
    DEADLINE_PASSED(204, 504, true, "the deadline passed before the request was sent"),
    /** No backend server of the service takes new work. */
    NO_BACKEND_SERVER(205, 503, true, "no backend server of this service takes new work"),
    /** The platform's table service did not confirm the claim. */
    CLAIM_UNCONFIRMED(206, 503, true, "the claim could not be confirmed by the platform"),
    /** The entry host is stopping. */
    STOPPING(207, 503, true, "this entry host is stopping"),
    /** The request headers are too large. */
    HEADERS_TOO_LARGE(208, 431, true, "the request headers are too large"),
    /** The request body is too large. */
    BODY_TOO_LARGE(209, 413, true, "the request body is too large"),
    /** Too many requests are open on this entry host. */
    TOO_MANY_REQUESTS(210, 503, true, "too many requests are open on this entry host"),
    /** The request is malformed. */
    REQUEST_INVALID(211, 400, true, "the request is malformed"),
    /** A non-idempotent request came without an identifier. */
    REQUEST_ID_MISSING(212, 400, true, "a non-idempotent request needs a Request-Id header"),
    /** The identifier was already used for another request. */
    REQUEST_ID_REUSED(213, 422, true, "this Request-Id was used for another request"),
    /** The same request is in progress. */
    IN_PROGRESS(214, 409, true, "the same request is in progress; this copy was not run"),
    /** The request was running on several servers when they crashed, and is quarantined. */
    QUARANTINED(215, 422, true, "this request is quarantined: servers stopped while running it"),
    /** The request lacks the name of the caller. */
    CALLER_MISSING(216, 400, true, "the Caller header is missing"),
    /** Every backend server refused the request without running it. */
    SHED(217, 503, true, "the backend servers shed this request without running it"),
    /** The body did not arrive in time. */
    REQUEST_INCOMPLETE(218, 408, true, "the request did not arrive whole in time"),
    /** This entry host has not read the routes yet. */
    ROUTES_UNKNOWN(219, 503, true, "this entry host does not know the routes yet"),
    /** No workspace holds the key of the request, or it bears none. */
    KEY_UNKNOWN(220, 401, true, "no workspace holds the key of this request"),
    /** The keys that this entry host knows are too old to refuse a key for good. */
    KEYS_OUTDATED(221, 503, true, "this entry host cannot check the key at the moment"),
    /** The workspace has used up its quota. */
    QUOTA_EXCEEDED(222, 429, true, "the quota of the workspace is used up"),

    /** A non-idempotent request may have run, at most once. */
    OUTCOME_UNKNOWN(301, 502, false, "the request may have run, at most once"),
    /** An idempotent request was not answered before its deadline. */
    TIMED_OUT(302, 504, false, "no answer came before the deadline"),
    /** An idempotent request failed on every attempt. */
    BACKEND_SERVER_FAILED(303, 502, false, "the backend servers failed to answer"),
    /** The answer is larger than the limit. */
    ANSWER_TOO_LARGE(304, 502, false, "the answer is larger than the limit"),

    /** The administration token is missing or wrong. */
    UNAUTHORIZED(401, 401, true, "the administration token is missing or wrong"),
    /** The change ticket is malformed or contradicts the configuration. */
    TICKET_INVALID(402, 400, true, "the change ticket is not valid"),
    /** Another ticket with the same number was accepted before. */
    TICKET_CONFLICT(403, 409, true, "another change ticket has this number"),
    /** A later ticket has changed an object of this ticket. */
    TICKET_STALE(404, 409, true, "a later change ticket has changed an object of this one"),
    /** No such ticket. */
    TICKET_UNKNOWN(405, 404, true, "no change ticket has this number"),
    /** The name is not in the configuration. */
    OBJECT_UNKNOWN(406, 404, true, "the configuration has no object of this name"),
    /** The platform's table service cannot be reached. */
    PLATFORM_UNAVAILABLE(407, 503, true, "the platform's table service cannot be reached"),
    /** The platform did not confirm the ticket, which may have taken effect; file it again. */
    TICKET_UNCONFIRMED(408, 504, false, "the ticket is unconfirmed; file it again"),
    /** No such administration resource. */
    RESOURCE_UNKNOWN(409, 404, true, "the administration API has no such resource"),
    /** This entry host has no authority to accept commands. */
    NO_AUTHORITY(410, 503, true, "this entry host is cut off from the others"),

    /** The settings file is invalid. */
    SETTINGS_INVALID(501, 400, true, "the settings are not valid"),
    /** The command line is invalid. */
    USAGE(502, 400, true, "the command line is not valid"),
    /** A file cannot be read. */
    FILE_UNREADABLE(503, 400, true, "the file cannot be read"),
    /** The administration API cannot be reached. */
    ADMINISTRATION_UNREACHABLE(504, 503, true, "the administration API cannot be reached"),

    /** An internal check failed. */
    INVARIANT_VIOLATED(601, 500, false, "an internal check failed"),
    /** A frame between entry hosts is malformed. */
    FRAME_INVALID(602, 400, false, "a frame between entry hosts is malformed"),
    /** A frame between entry hosts is too large. */
    FRAME_TOO_LARGE(603, 400, false, "a frame between entry hosts is too large"),
    /** A condition of a transaction did not hold. */
    CONDITION_FAILED(604, 409, true, "a condition of the transaction does not hold"),
    /** The platform gave no answer, so a write may or may not have taken effect. */
    PLATFORM_ANSWER_LOST(605, 504, false, "the platform's answer was lost"),
    /** The platform has already discarded the changes since the given version. */
    HISTORY_GONE(606, 410, true, "the platform dropped the changes since this version"),
    /** An entry or a configuration that another program wrote is malformed. */
    ENTRY_INVALID(607, 400, true, "an entry of the platform cannot be read");

    private final int number;
    private final int httpStatus;
    private final boolean notRun;
    private final String meaning;

    ResultCode(int number, int httpStatus, boolean notRun, String meaning) {
        this.number = number;
        this.httpStatus = httpStatus;
        this.notRun = notRun;
        this.meaning = meaning;
    }

    /**
     * Returns the stable number that callers and programs see.
     *
     * @return the number
     */
    public int number() {
        return number;
    }

    /**
     * Returns the HTTP status of answers with this result.
     *
     * @return the status
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Tells whether this result guarantees that the request or command had no effect.
     *
     * @return true if it certainly did not run
     */
    public boolean isNotRun() {
        return notRun;
    }

    /**
     * Returns a description for callers and operators.
     *
     * @return a sentence without a full stop
     */
    public String meaning() {
        return meaning;
    }
}
