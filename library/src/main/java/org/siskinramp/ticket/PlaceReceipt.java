package org.siskinramp.ticket;

/**
 * Confirms that an availability zone or a host has a state.
 *
 * @param version a configuration version in which it has the state
 * @param already whether it had the state before
 */
public record PlaceReceipt(long version, boolean already) {}
