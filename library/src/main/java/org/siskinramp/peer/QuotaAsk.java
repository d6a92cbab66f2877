package org.siskinramp.peer;

import java.util.List;

/**
 * Asks for tokens: a host its reader, or a reader the reader that balances the workspace.
 *
 * @param stamp bounds the time of the message on the way
 * @param fromReader whether the sender asks for its group of hosts
 * @param needs the tokens that the sender needs
 */
public record QuotaAsk(QuotaStamp stamp, boolean fromReader, List<QuotaNeed> needs)
        implements PeerMessage {

    /**
     * Copies the list so that the message cannot change.
     *
     * @param stamp bounds the time of the message on the way
     * @param fromReader whether the sender asks for its group of hosts
     * @param needs the tokens that the sender needs
     */
    public QuotaAsk {
        needs = List.copyOf(needs);
    }
}
