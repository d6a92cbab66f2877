package org.siskinramp.peer;

/**
 * Says how many slots of a service a host could lend.
 *
 * @param service the service
 * @param slots the number of idle usable slots
 */
public record ServiceSpare(String service, int slots) {}
