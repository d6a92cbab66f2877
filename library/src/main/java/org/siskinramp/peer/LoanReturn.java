package org.siskinramp.peer;

import java.util.List;

/**
 * Gives lent slots back: the sender has nothing in progress there and will start nothing there.
 *
 * @param service the service
 * @param loanNumbers the numbers of the loans
 */
public record LoanReturn(String service, List<Long> loanNumbers) implements PeerMessage {

    /**
     * Copies the list so that the message cannot change.
     *
     * @param service the service
     * @param loanNumbers the numbers of the loans
     */
    public LoanReturn {
        loanNumbers = List.copyOf(loanNumbers);
    }
}
