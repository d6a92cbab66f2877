package org.siskinramp.gateway;

import org.siskinramp.quarantine.Crash;

/**
 * A crash that is suspected because an attempt got no answer.
 *
 * @param crash the crash, if it is confirmed
 * @param requestId the request of the attempt
 * @param sentAt when the attempt was sent, in monotonic milliseconds
 * @param brokenAt when the attempt ended, in monotonic milliseconds
 * @param requestsInProgress how many requests the server had when the attempt was sent, as
 *     estimated by this host, the attempt included
 * @param symptom how the attempt ended
 */
record SuspectedCrash(
        Crash crash,
        String requestId,
        long sentAt,
        long brokenAt,
        int requestsInProgress,
        Symptom symptom) {

    /** Tells whether the server closed the connection although it was not full. */
    boolean isCut() {
        return symptom == Symptom.CUT || symptom == Symptom.ANSWER_CUT;
    }

    /** Tells whether the server closed the connection without any part of an answer. */
    boolean isReset() {
        return symptom == Symptom.CUT || symptom == Symptom.CUT_WHEN_FULL;
    }

    /** How an attempt without an answer ended. */
    enum Symptom {
        /** The connection was closed by a server that was not full. */
        CUT,
        /** The connection was closed by a server that was full, or is likely to have been. */
        CUT_WHEN_FULL,
        /** The connection was closed within the answer. */
        ANSWER_CUT,
        /** There was no answer before the deadline. */
        TIMED_OUT
    }
}
