package org.siskinramp.peer;

import java.util.List;

/**
 * Gives tokens that the sender does not need: a host to its reader, or a reader to the reader that
 * balances the workspace.
 *
 * @param stamp bounds the time of the message on the way
 * @param fromReader whether the sender passes on the tokens of its group of hosts
 * @param tokens the tokens
 */
public record QuotaSurplus(QuotaStamp stamp, boolean fromReader, List<QuotaTokens> tokens)
        implements PeerMessage {

    /**
     * Copies the list so that the message cannot change.
     *
     * @param stamp bounds the time of the message on the way
     * @param fromReader whether the sender passes on the tokens of its group of hosts
     * @param tokens the tokens
     */
    public QuotaSurplus {
        tokens = List.copyOf(tokens);
    }
}
