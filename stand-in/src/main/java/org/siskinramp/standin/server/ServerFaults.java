package org.siskinramp.standin.server;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The faults that a backend server injects. In a command, a null component leaves that fault
 * unchanged.
 *
 * @param straggle the factor by which requests that start from now on take longer; 1 for none
 * @param failFast whether every request is answered with 500 at once
 * @param cold true in a command makes the server cold at once, under a new boot identity
 * @param drain whether the server refuses new requests and finishes those in progress
 * @param crashOnContent the server crashes when it starts a request whose body contains this text;
 *     empty for none
 * @param crossAnswers whether the answers of concurrent requests are swapped
 * @param shortBody the number of body bytes after which answers are cut off; negative for none
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
