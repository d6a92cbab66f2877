package org.siskinramp.log;

import java.util.Locale;

/** Names the counters that the library increments. */
public enum Counter {
    /** Requests received. */
    REQUESTS,
    /** Requests answered by a backend server. */
    REQUESTS_ANSWERED,
    /** Requests refused as not run. */
    REQUESTS_REFUSED,
    /** Requests that failed or whose outcome is unknown. */
    REQUESTS_FAILED,
    /** Non-idempotent requests answered with the stored answer of an earlier run. */
    REQUESTS_REPLAYED,
    /** Requests started while an earlier one of their connection was in progress. */
    REQUESTS_STARTED_EARLY,
    /** Requests whose caller disconnected before the answer. */
    CALLERS_LEFT,
    /** Attempts sent to backend servers. */
    ATTEMPTS,
    /** Retries of requests after a failed attempt. */
    RETRIES,
    /** Attempts sent while another attempt of the request was in progress. */
    HEDGES,
    /** Retries that the retry budget did not allow. */
    RETRIES_DENIED,
    /** Requests that a backend server was running when it crashed, except the cleared ones. */
    CRASHES,
    /** The cleared ones: a backend server ran a request of the same content to completion. */
    CRASHES_EXCUSED,
    /** Backend servers that announced their shutdown in an answer. */
    SERVERS_DEPARTING,
    /** Pauses that backend servers asked for. */
    SERVERS_PAUSED,
    /** Rate limits that backend servers announced. */
    SERVERS_RATE_LIMITED,
    /** Connections that backend servers reset because they were full. */
    FULL_SERVER_RESETS,
    /** Answers of backend servers that are not valid HTTP, such as one of status 000. */
    ANSWERS_INVALID,
    /** Requests that waited for a slot. */
    WAITS,
    /** Loan requests sent to other entry hosts. */
    LOAN_ASKS,
    /** Slots lent to other entry hosts. */
    LOANS_GRANTED,
    /** Probes sent to backend servers. */
    PROBES,
    /** Violations of internal invariants. */
    INVARIANT_VIOLATIONS,
    /** Claims committed to the table service. */
    CLAIMS,
    /** Transactions sent to the table service. */
    PLATFORM_WRITES,
    /** Frames sent to other entry hosts. */
    PEER_FRAMES,
    /** Bytes sent to other entry hosts. */
    PEER_BYTES,
    /** Peer links closed because of a malformed frame. */
    PEER_FRAMES_INVALID,
    /** Frames dropped before they were sent to another entry host or processed. */
    PEER_FRAMES_DROPPED,
    /** Frames of a type that this version does not know. */
    PEER_FRAMES_UNKNOWN,
    /** Links to other entry hosts that broke or could not be opened. */
    PEER_LINK_FAILURES,
    /** Detected cold starts of backend servers. */
    COLD_STARTS,
    /** Ejections of backend servers. */
    EJECTIONS,
    /** Connections closed because they had stopped responding. */
    SILENT_CONNECTIONS,
    /** Orders of roll-outs that this host recorded as rolled back. */
    ROLLOUTS_ROLLED_BACK,
    /** Journal entries dropped while the object store was unavailable. */
    JOURNAL_DROPS;

    /**
     * Returns the name used in metrics.
     *
     * @return the name, such as {@code siskinramp_requests}
     */
    public String metricName() {
        return "siskinramp_" + name().toLowerCase(Locale.ROOT);
    }
}
