package org.siskinramp.daemon.administration.query;

import java.util.List;

/**
 * Tells what became of a request and how that is known.
 *
 * @param caller the caller's name
 * @param requestId the identifier that the caller chose
 * @param verdict what became of it
 * @param reason how that is known
 * @param attempts how many attempts were sent to backend servers, as far as is known
 * @param events what the entry hosts recorded, oldest first
 * @param gaps stretches of time and hosts whose records are missing
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
     * @param verdict what became of it
     * @param reason how that is known
     * @param attempts the known attempts
     * @param events the records
     * @param gaps the missing records
     */
    public RequestHistory {
        events = List.copyOf(events);
        gaps = List.copyOf(gaps);
    }
}
