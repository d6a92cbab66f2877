package org.siskinramp.peer;

import java.util.List;

/**
 * Lends slots, or none.
 *
 * @param askNumber the number of the ask
 * @param service the service
 * @param loans the loans, empty if nothing can be lent
 * @param spare how many idle slots of the service the lender still has
 */
public record LoanGrant(long askNumber, String service, List<Loan> loans, int spare)
        implements PeerMessage {

    /**
     * Copies the list so that the message cannot change.
     *
     * @param askNumber the number of the ask
     * @param service the service
     * @param loans the loans
     * @param spare idle slots that are left
     */
    public LoanGrant {
        loans = List.copyOf(loans);
    }

    /**
     * Lends one slot. The borrower counts the term from when it sent the ask.
     *
     * @param loanNumber a number that is unique for the service on the lending host
     * @param backendServer the backend server
     * @param index the index of the slot
     * @param termMilliseconds how long the borrower may start requests there, in milliseconds
     * @param bootIdentity the start of the backend server that is lent, or an empty string
     */
    public record Loan(
            long loanNumber,
            String backendServer,
            int index,
            long termMilliseconds,
            String bootIdentity) {}
}
