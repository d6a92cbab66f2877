package org.siskinramp.peer;

/**
 * States how many slots of a service a host could lend to others.
 *
 * @param service the service
 * @param slots the number of lendable slots: idle and usable
 */
public record ServiceSpare(String service, int slots) {}
