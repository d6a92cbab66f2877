package org.siskinramp.standin.platform;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Commands faults. What is left out stays as it is.
 *
 * @param outage whether everything is refused without effect
 * @param delayMilliseconds how much later every answer comes, in milliseconds
 * @param loseAnswers how many of the next writes take effect without an answer
 * @param hang whether requests are taken and never answered, without effect
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
