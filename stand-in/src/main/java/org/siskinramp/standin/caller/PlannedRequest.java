package org.siskinramp.standin.caller;

import org.siskinramp.request.RequestKey;

/**
 * Describes a request before it is sent.
 *
 * @param key the caller and the identifier
 * @param kind the kind
 * @param content the body
 * @param target the index of the target
 * @param resendTarget the index of the target that gets a second copy, or -1 for no second copy
 * @param measured whether its latency counts
 * @param sendAfterMilliseconds when it is to be sent, from the start of the run
 */
@SuppressWarnings("ArrayRecordComponent")
record PlannedRequest(
        RequestKey key,
        LoadKind kind,
        byte[] content,
        int target,
        int resendTarget,
        boolean measured,
        double sendAfterMilliseconds) {

    boolean isResent() {
        return resendTarget >= 0;
    }

    int copies() {
        return isResent() ? 2 : 1;
    }
}
