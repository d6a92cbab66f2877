package org.siskinramp.standin.proxy;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Commands faults. What is left out stays as it is.
 *
 * @param cut whether all connections are closed and new ones refused
 * @param delayMilliseconds how much later bytes arrive in each direction, in milliseconds
 * @param truncateAfter after how many bytes from the target a connection is closed; negative for
 *     never
 * @param oneWay in which direction bytes are dropped
 * @param silenceExisting true makes the connections that are open now pass nothing any more, for
 *     good, without being closed
 * @param heal true ends all faults except the silence
 */
record ProxyFaults(
        Boolean cut,
        @JsonProperty("delay_ms") Long delayMilliseconds,
        Long truncateAfter,
        DroppedDirection oneWay,
        Boolean silenceExisting,
        Boolean heal) {

    /** No faults. */
    static final ProxyFaults NONE =
            new ProxyFaults(false, 0L, -1L, DroppedDirection.NONE, false, false);

    ProxyFaults changedBy(ProxyFaults change) {
        ProxyFaults base = Boolean.TRUE.equals(change.heal) ? NONE : this;
        return new ProxyFaults(
                change.cut == null ? base.cut : change.cut,
                change.delayMilliseconds == null
                        ? base.delayMilliseconds
                        : change.delayMilliseconds,
                change.truncateAfter == null ? base.truncateAfter : change.truncateAfter,
                change.oneWay == null ? base.oneWay : change.oneWay,
                false,
                false);
    }

    boolean drops(boolean towardsTarget) {
        return towardsTarget
                ? oneWay == DroppedDirection.TO_TARGET
                : oneWay == DroppedDirection.FROM_TARGET;
    }

    boolean truncates(long bytesFromTarget) {
        return truncateAfter >= 0 && bytesFromTarget >= truncateAfter;
    }
}
