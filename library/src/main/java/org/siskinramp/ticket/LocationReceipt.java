package org.siskinramp.ticket;

/**
 * Confirms the state of an availability zone or a host after a command.
 *
 * @param version a configuration version in which it has the requested state
 * @param repeated whether it had the state already, so that nothing was changed
 */
public record LocationReceipt(long version, boolean repeated) {}
