package org.siskinramp.peer;

import java.util.List;

/**
 * Returns lent slots. The sender has no request in progress in them and will start no more.
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
     * Identifies a loan that ends.
     *
     * @param loanNumber the lender's number of the loan
     * @param successfulAnswers the number of successful answers that the borrower got in the slot,
     *     which the lender counts towards the warm-up of the backend server
     */
    public record ReturnedLoan(long loanNumber, int successfulAnswers) {}
}
