package org.siskinramp.log;

import java.util.Locale;

/** Names the counters that the decisions raise. */
public enum Counter {
    /** Requests that arrived. */
    REQUESTS,
    /** Requests answered by a backend server. */
    REQUESTS_ANSWERED,
    /** Requests refused as not run. */
    REQUESTS_REFUSED,
    /** Requests whose outcome is unknown or failed. */
    REQUESTS_FAILED,
    /** Non-idempotent requests answered with a kept answer. */
    REQUESTS_REPLAYED,
    /** Requests whose caller left before the answer. */
    CALLERS_LEFT,
    /** Attempts sent to backend servers. */
    ATTEMPTS,
    /** Second attempts of idempotent requests. */
    RETRIES,
    /** Attempts sent while another attempt of the request was in progress. */
    HEDGES,
    /** Second attempts that the budget did not allow. */
    RETRIES_DENIED,
    /** Requests under which a backend server ended. */
    CRASHES,
    /** Requests under which a backend server ended, and which others had run to their end. */
    CRASHES_EXCUSED,
    /** Backend servers that announced their end in an answer. */
    SERVERS_DEPARTING,
    /** Pauses that backend servers asked for. */
    SERVERS_PAUSED,
    /** Requests that waited for a slot. */
    WAITS,
    /** Slots asked for from other hosts. */
    LOAN_ASKS,
    /** Slots lent to other hosts. */
    LOANS_GRANTED,
    /** Probes sent to backend servers. */
    PROBES,
    /** Internal checks that failed. */
    INVARIANT_VIOLATIONS,
    /** Claims committed. */
    CLAIMS,
    /** Transactions sent to the table service. */
    PLATFORM_WRITES,
    /** Frames sent to other entry hosts. */
    PEER_FRAMES,
    /** Bytes sent to other entry hosts. */
    PEER_BYTES,
    /** Peer links closed because of a malformed frame. */
    PEER_FRAMES_INVALID,
    /** Frames for other entry hosts that were dropped before they were sent or handled. */
    PEER_FRAMES_DROPPED,
    /** Frames of a type that this version does not know. */
    PEER_FRAMES_UNKNOWN,
    /** Links to other entry hosts that broke or could not be opened. */
    PEER_LINK_FAILURES,
    /** Backend servers found cold. */
    COLD_STARTS,
    /** Backend servers ejected. */
    EJECTIONS,
    /** Connections closed because they had gone silent. */
    SILENT_CONNECTIONS,
    /** Journal entries dropped while the object store was down. */
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
