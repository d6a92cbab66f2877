package org.siskinramp.ticket;

/**
 * Confirms an accepted ticket.
 *
 * @param number the number of the ticket
 * @param version the configuration version that it created
 * @param repeated whether the same ticket had been accepted before, so that nothing was changed
 */
public record TicketReceipt(long number, long version, boolean repeated) {}
