package org.siskinramp.ticket;

/**
 * Confirms an accepted ticket.
 *
 * @param number the number of the ticket
 * @param version the configuration version that it made
 * @param already whether an earlier filing of the same ticket had been accepted
 */
public record TicketReceipt(long number, long version, boolean already) {}
