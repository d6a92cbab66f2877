package org.siskinramp.standin.platform;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The faults that the platform injects. In a command, a null component leaves that fault unchanged.
 *
 * @param outage whether every request is refused with 503 and has no effect
 * @param delayMilliseconds the delay added to every request except changes of the host list, in
 *     milliseconds
 * @param loseAnswers how many of the next writes have their connection closed without an answer
 *     after they took effect
 * @param hang whether requests are never answered and have no effect
 */
record PlatformFaults(
        Boolean outage,
        @JsonProperty("delay_ms") Long delayMilliseconds,
        Integer loseAnswers,
        Boolean hang) {

    /** No faults. */
    static final PlatformFaults NONE = new PlatformFaults(false, 0L, 0, false);

    PlatformFaults changedBy(PlatformFaults change) {
        return new PlatformFaults(
                change.outage == null ? outage : change.outage,
                change.delayMilliseconds == null ? delayMilliseconds : change.delayMilliseconds,
                change.loseAnswers == null ? loseAnswers : change.loseAnswers,
                change.hang == null ? hang : change.hang);
    }
}
