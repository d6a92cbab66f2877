package org.siskinramp.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.siskinramp.peer.QuotaTokens;

/** Converts tokens of a holder to those in a message, and back by the clock of the receiver. */
final class TokenTransfer {

    private static final long STEP_MILLISECONDS = 50;

    /** Bounds the size of a message, however long tokens live. */
    private static final long MAXIMUM_LOTS = 32;

    private TokenTransfer() {}

    /** Combines tokens of similar expiry, at the earliest one, into a few lots. */
    static QuotaTokens toMessage(
            String workspace, QuotaTerms terms, List<TokenBatch> batches, long now) {
        long step = Math.max(STEP_MILLISECONDS, terms.lifetimeMilliseconds() / MAXIMUM_LOTS);
        TreeMap<Long, TokenBatch> bySlot = new TreeMap<>();
        for (TokenBatch batch : batches) {
            bySlot.merge(
                    Math.floorDiv(batch.expiresMilliseconds(), step),
                    batch,
                    TokenTransfer::combine);
        }
        List<QuotaTokens.Lot> lots = new ArrayList<>();
        for (Map.Entry<Long, TokenBatch> entry : bySlot.entrySet()) {
            TokenBatch batch = entry.getValue();
            lots.add(new QuotaTokens.Lot(batch.expiresMilliseconds() - now, batch.microTokens()));
        }
        return new QuotaTokens(workspace, lots);
    }

    private static TokenBatch combine(TokenBatch first, TokenBatch second) {
        return new TokenBatch(
                Math.min(first.expiresMilliseconds(), second.expiresMilliseconds()),
                first.microTokens() + second.microTokens());
    }

    /** Adds the tokens of a message to a stock, except those that expired on the way. */
    static long addTo(TokenStock stock, QuotaTokens tokens, long transitMilliseconds, long now) {
        long before = stock.total(now);
        for (QuotaTokens.Lot lot : tokens.lots()) {
            long remaining = lot.remainingMilliseconds() - transitMilliseconds;
            if (remaining > 0 && lot.microTokens() > 0) {
                stock.add(new TokenBatch(now + remaining, lot.microTokens()), now);
            }
        }
        return stock.total(now) - before;
    }
}
