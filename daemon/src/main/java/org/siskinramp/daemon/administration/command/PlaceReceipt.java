package org.siskinramp.daemon.administration.command;

import org.siskinramp.configuration.AdministrativeState;

/**
 * Confirms that an availability zone or a host is in or out of service.
 *
 * @param name the availability zone or the host
 * @param state its state
 * @param configurationVersion a configuration version in which it has the state
 * @param repeated whether it had the state before
 */
public record PlaceReceipt(
        String name, AdministrativeState state, long configurationVersion, boolean repeated) {}
