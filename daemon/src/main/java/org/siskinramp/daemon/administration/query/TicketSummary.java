package org.siskinramp.daemon.administration.query;

/**
 * The summary of an accepted change ticket.
 *
 * @param number the ticket's number
 * @param configurationVersion the configuration version that it created
 * @param filedCalendarMilliseconds when it was accepted, in milliseconds since 1970
 */
public record TicketSummary(
        long number, long configurationVersion, long filedCalendarMilliseconds) {}
