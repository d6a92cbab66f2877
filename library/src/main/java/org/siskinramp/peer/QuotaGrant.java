package org.siskinramp.peer;

import java.util.List;

/**
 * Grants tokens to a sender of {@link QuotaAsk}, and names the workspaces whose tokens are needed.
 *
 * @param stamp bounds the time of the message on the way
 * @param toReader whether the tokens are for the receiver's group of hosts
 * @param tokens the tokens
 * @param neededWorkspaces the workspaces of which some host needs tokens
 */
public record QuotaGrant(
        QuotaStamp stamp, boolean toReader, List<QuotaTokens> tokens, List<String> neededWorkspaces)
        implements PeerMessage {

    /**
     * Copies the lists so that the message cannot change.
     *
     * @param stamp bounds the time of the message on the way
     * @param toReader whether the tokens are for the receiver's group of hosts
     * @param tokens the tokens
     * @param neededWorkspaces the workspaces of which some host needs tokens
     */
    public QuotaGrant {
        tokens = List.copyOf(tokens);
        neededWorkspaces = List.copyOf(neededWorkspaces);
    }
}
