package org.siskinramp.peer;

/**
 * Asks to borrow slots of a service from another host.
 *
 * @param loanRequestNumber the number of this request, unique on the sender
 * @param service the service
 * @param slots the number of slots wanted, one or more
 * @param availabilityZone the preferred availability zone of the slots
 */
public record LoanAsk(long loanRequestNumber, String service, int slots, String availabilityZone)
        implements PeerMessage {}
