package org.siskinramp.peer;

/**
 * Asks for slots of a service.
 *
 * @param askNumber a number that is unique on the asking host
 * @param service the service
 * @param slots how many slots are wanted, one or more
 * @param availabilityZone the availability zone that is preferred
 */
public record LoanAsk(long askNumber, String service, int slots, String availabilityZone)
        implements PeerMessage {}
