package org.siskinramp.configuration;

/**
 * Describes an availability zone or a host that operators take out of service and bring back.
 *
 * @param name its unique name
 * @param state whether it takes new work
 */
public record Place(String name, ServiceState state) {}
