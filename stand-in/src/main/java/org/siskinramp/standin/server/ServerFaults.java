package org.siskinramp.standin.server;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Commands faults. What is left out stays as it is.
 *
 * @param straggle by what factor new work takes longer; 1 for none
 * @param failFast whether every request is answered with 500 at once
 * @param cold true turns the server cold without warning
 * @param drain whether the server takes no new work and finishes what it has
 * @param crashOnContent a text that makes the server fall over when a body has it; empty for none
 * @param crossAnswers whether the answers of concurrent requests are swapped
 * @param shortBody after how many bytes answers end early; negative for none
 */
record ServerFaults(
        Double straggle,
        Boolean failFast,
        Boolean cold,
        Boolean drain,
        String crashOnContent,
        Boolean crossAnswers,
        @JsonProperty("short_body") Integer shortBody) {

    /** No faults. */
    static final ServerFaults NONE = new ServerFaults(1.0, false, false, false, "", false, -1);

    ServerFaults changedBy(ServerFaults change) {
        return new ServerFaults(
                change.straggle == null ? straggle : change.straggle,
                change.failFast == null ? failFast : change.failFast,
                false,
                change.drain == null ? drain : change.drain,
                change.crashOnContent == null ? crashOnContent : change.crashOnContent,
                change.crossAnswers == null ? crossAnswers : change.crossAnswers,
                change.shortBody == null ? shortBody : change.shortBody);
    }

    boolean crashesOn(String content) {
        return !crashOnContent.isEmpty() && content.contains(crashOnContent);
    }
}
