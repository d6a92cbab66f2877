package org.siskinramp.daemon.administration.query;

/**
 * An event in the processing of a request, from the journal of an entry host.
 *
 * @param calendarMilliseconds the time in milliseconds since 1970, by the clock of the entry host
 * @param host the entry host that recorded the event
 * @param description the event as key=value pairs
 */
public record RequestEvent(long calendarMilliseconds, String host, String description) {}
