package org.siskinramp.peer;

import java.util.List;

/**
 * Answers a {@link LoanAsk} with the slots that are lent, if any.
 *
 * @param loanRequestNumber the number of the request
 * @param service the service
 * @param loans the loans, empty if nothing can be lent
 * @param remainingLendableSlots the number of slots of the service that the lender could still lend
 */
public record LoanGrant(
        long loanRequestNumber, String service, List<Loan> loans, int remainingLendableSlots)
        implements PeerMessage {

    /**
     * Copies the list so that the message cannot change.
     *
     * @param loanRequestNumber the number of the request
     * @param service the service
     * @param loans the loans
     * @param remainingLendableSlots the number of slots that could still be lent
     */
    public LoanGrant {
        loans = List.copyOf(loans);
    }

    /**
     * The loan of one slot. Its term starts when the borrower sent the request.
     *
     * @param loanNumber a number that is unique for the service on the lending host
     * @param backendServer the backend server
     * @param index the index of the slot
     * @param termMilliseconds how long the borrower may start requests in the slot, in milliseconds
     * @param bootIdentity the boot identity of the server process to which the loan applies, or an
     *     empty string
     */
    public record Loan(
            long loanNumber,
            String backendServer,
            int index,
            long termMilliseconds,
            String bootIdentity) {}
}
