package org.siskinramp.daemon.administration.command;

/**
 * Confirms that a change ticket was accepted.
 *
 * @param number the ticket's number
 * @param configurationVersion the configuration version that it created
 * @param repeated whether the same ticket had been accepted before, so that nothing was changed
 */
public record TicketReceipt(long number, long configurationVersion, boolean repeated) {}
