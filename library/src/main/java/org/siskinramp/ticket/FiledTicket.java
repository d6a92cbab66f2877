package org.siskinramp.ticket;

/**
 * Holds an accepted ticket.
 *
 * @param number the number of the ticket
 * @param version the configuration version that it made
 * @param filedMilliseconds when it was accepted, in calendar milliseconds
 * @param content the ticket as JSON, with every default filled in
 */
public record FiledTicket(long number, long version, long filedMilliseconds, String content) {}
