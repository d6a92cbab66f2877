package org.siskinramp.daemon.administration.query;

import java.util.List;

/**
 * What is known about a request: whether it ran, and the events that show this.
 *
 * @param caller the caller's name
 * @param requestId the identifier that the caller chose
 * @param verdict whether it ran
 * @param reason the evidence for the verdict
 * @param attempts the number of attempts known to have been sent to backend servers
 * @param events the events that entry hosts recorded, oldest first
 * @param gaps descriptions of the hosts and periods whose records are missing
 */
public record RequestHistory(
        String caller,
        String requestId,
        RequestVerdict verdict,
        String reason,
        int attempts,
        List<RequestEvent> events,
        List<String> gaps) {

    /**
     * Copies the lists so that the history cannot change.
     *
     * @param caller the caller's name
     * @param requestId the identifier
     * @param verdict whether it ran
     * @param reason the evidence for the verdict
     * @param attempts the number of known attempts
     * @param events the recorded events
     * @param gaps the hosts and periods whose records are missing
     */
    public RequestHistory {
        events = List.copyOf(events);
        gaps = List.copyOf(gaps);
    }
}
