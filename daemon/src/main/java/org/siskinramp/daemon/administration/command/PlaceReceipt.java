package org.siskinramp.daemon.administration.command;

import org.siskinramp.configuration.AdministrativeState;

/**
 * Confirms that an availability zone or a host is in or out of service.
 *
 * @param name the name of the availability zone or the host
 * @param state the requested state
 * @param configurationVersion a configuration version in which it has the state
 * @param repeated whether it had the state already, so that nothing was changed
 */
public record PlaceReceipt(
        String name, AdministrativeState state, long configurationVersion, boolean repeated) {}
