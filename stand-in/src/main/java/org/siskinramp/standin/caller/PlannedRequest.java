package org.siskinramp.standin.caller;

import org.siskinramp.request.RequestKey;

/**
 * A request before it is sent.
 *
 * @param key the caller and the identifier of the request
 * @param kind the kind
 * @param content the body
 * @param target the index of the target to which it is sent
 * @param resendTarget the index of the target that gets a second copy, or -1 for no second copy
 * @param measured whether its latency is recorded; false during the warm-up
 * @param sendAfterMilliseconds the intended send time, from the start of the run
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
