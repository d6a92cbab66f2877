package org.siskinramp.peer;

import java.util.List;

/**
 * Gives lent slots back: the sender has nothing in progress there and will start nothing there.
 *
 * @param loanNumbers the numbers of the loans
 */
public record LoanReturn(List<Long> loanNumbers) implements PeerMessage {

    /**
     * Copies the list so that the message cannot change.
     *
     * @param loanNumbers the numbers of the loans
     */
    public LoanReturn {
        loanNumbers = List.copyOf(loanNumbers);
    }
}
