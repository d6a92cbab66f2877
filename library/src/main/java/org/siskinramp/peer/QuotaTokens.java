package org.siskinramp.peer;

import java.util.List;

/**
 * Tokens of a workspace in a message. The sender has deducted them, so a lost message loses them.
 *
 * @param workspace the name of the workspace
 * @param lots the tokens by their expiry
 */
public record QuotaTokens(String workspace, List<Lot> lots) {

    /**
     * Copies the list so that the tokens cannot change.
     *
     * @param workspace the name of the workspace
     * @param lots the tokens by their expiry
     */
    public QuotaTokens {
        lots = List.copyOf(lots);
    }

    /**
     * Tokens that expire together.
     *
     * @param remainingMilliseconds after what time they expire
     * @param microTokens the amount in millionths of a token
     */
    public record Lot(long remainingMilliseconds, long microTokens) {}
}
