package org.siskinramp.configuration;

/**
 * Describes an availability zone or a host, which operators can take out of service.
 *
 * @param name its unique name
 * @param state whether it takes new work
 */
public record Location(String name, AdministrativeState state) {}
