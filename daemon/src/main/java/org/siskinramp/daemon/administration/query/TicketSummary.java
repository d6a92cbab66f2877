package org.siskinramp.daemon.administration.query;

/**
 * Describes an accepted change ticket in short.
 *
 * @param number the ticket's number
 * @param configurationVersion the configuration version that it made
 * @param filedCalendarMilliseconds when it was accepted, in milliseconds since 1970
 */
public record TicketSummary(
        long number, long configurationVersion, long filedCalendarMilliseconds) {}
