package org.siskinramp.standin.proxy;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The faults that the proxy injects. In a command, a null component leaves that fault unchanged.
 *
 * @param cut whether all connections are closed and new ones are refused
 * @param delayMilliseconds the delay of bytes in each direction, in milliseconds
 * @param truncateAfter the number of bytes from the target after which a connection is closed;
 *     negative for never
 * @param oneWay the direction in which bytes are dropped
 * @param silenceExisting true in a command stops all forwarding on the connections that are open at
 *     that time, permanently and without closing them
 * @param heal true in a command ends all faults before its other components take effect; silent
 *     connections stay silent
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

    boolean drops(boolean toTarget) {
        return toTarget
                ? oneWay == DroppedDirection.TO_TARGET
                : oneWay == DroppedDirection.FROM_TARGET;
    }

    boolean truncates(long bytesFromTarget) {
        return truncateAfter >= 0 && bytesFromTarget >= truncateAfter;
    }
}
