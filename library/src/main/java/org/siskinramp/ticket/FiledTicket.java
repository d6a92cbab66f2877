package org.siskinramp.ticket;

/**
 * Describes a ticket that was accepted.
 *
 * @param number the number of the ticket
 * @param version the configuration version that it created
 * @param filedCalendarMilliseconds when it was accepted, in milliseconds since 1970 (UTC)
 * @param content the ticket as JSON, with every default filled in
 */
public record FiledTicket(
        long number, long version, long filedCalendarMilliseconds, String content) {}
