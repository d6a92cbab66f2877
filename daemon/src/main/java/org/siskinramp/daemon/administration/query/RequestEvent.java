package org.siskinramp.daemon.administration.query;

/**
 * Describes one event in the life of a request.
 *
 * @param calendarMilliseconds when, in milliseconds since 1970 by the clock of the entry host
 * @param host the entry host that saw it
 * @param description what happened, as key=value pairs
 */
public record RequestEvent(long calendarMilliseconds, String host, String description) {}
