package org.siskinramp.peer;

import java.util.List;

/**
 * Gives lent slots back: the sender has nothing in progress there and will start nothing there.
 *
 * @param service the service
 * @param loans the loans
 */
public record LoanReturn(String service, List<ReturnedLoan> loans) implements PeerMessage {

    /**
     * Copies the list so that the message cannot change.
     *
     * @param service the service
     * @param loans the loans
     */
    public LoanReturn {
        loans = List.copyOf(loans);
    }

    /**
     * Describes a loan that ends.
     *
     * @param loanNumber the lender's number of the loan
     * @param answers how many answers in time the borrower got in the slot, so that the lender can
     *     judge the warmth of the backend server
     */
    public record ReturnedLoan(long loanNumber, int answers) {}
}
