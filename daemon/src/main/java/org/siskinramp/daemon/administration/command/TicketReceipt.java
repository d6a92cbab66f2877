package org.siskinramp.daemon.administration.command;

/**
 * Confirms that a change ticket is accepted.
 *
 * @param number the ticket's number
 * @param configurationVersion the configuration version that it made
 * @param repeated whether the same ticket had been accepted before
 */
public record TicketReceipt(long number, long configurationVersion, boolean repeated) {}
