package org.siskinramp.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Holds the tokens of one workspace until they are used, passed on or expire. The oldest are used
 * first. Not thread-safe; guarded by the lock of its owner.
 */
final class TokenStock {

    /** Expiries are rounded down to multiples of this, which bounds the number of batches. */
    private static final long EXPIRY_STEP_MILLISECONDS = 25;

    private final TreeMap<Long, Long> amountsByExpiry = new TreeMap<>();
    private QuotaTerms terms;
    private long totalMicroTokens;

    TokenStock(QuotaTerms terms) {
        this.terms = terms;
    }

    QuotaTerms terms() {
        return terms;
    }

    /** Applies a changed quota: tokens of a higher rate shrink, and none outlives the new age. */
    void adapt(QuotaTerms newTerms, long now) {
        if (newTerms.equals(terms)) {
            return;
        }
        double factor = Math.min(1, newTerms.tokensPerSecond() / terms.tokensPerSecond());
        terms = newTerms;
        List<TokenBatch> batches = takeOldest(Long.MAX_VALUE, now);
        for (TokenBatch batch : batches) {
            add(
                    new TokenBatch(
                            batch.expiresMilliseconds(), (long) (batch.microTokens() * factor)),
                    now);
        }
    }

    /** Adds tokens, for not longer than the age that the quota allows. */
    void add(TokenBatch batch, long now) {
        long expiry = Math.min(batch.expiresMilliseconds(), now + terms.lifetimeMilliseconds());
        long slot = Math.floorDiv(expiry, EXPIRY_STEP_MILLISECONDS) * EXPIRY_STEP_MILLISECONDS;
        long amount = Math.min(batch.microTokens(), terms.capacityMicroTokens() - totalMicroTokens);
        if (slot > now && amount > 0) {
            amountsByExpiry.merge(slot, amount, Long::sum);
            totalMicroTokens += amount;
        }
    }

    /** Returns the amount of unexpired tokens, in millionths of a token. */
    long total(long now) {
        while (!amountsByExpiry.isEmpty() && amountsByExpiry.firstKey() <= now) {
            totalMicroTokens -= amountsByExpiry.pollFirstEntry().getValue();
        }
        return totalMicroTokens;
    }

    /** Uses one token; returns its expiry, or empty if there is less than one token. */
    OptionalLong useOne(long now) {
        if (total(now) < TokenBatch.ONE_TOKEN) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(takeOldest(TokenBatch.ONE_TOKEN, now).get(0).expiresMilliseconds());
    }

    /** Takes up to an amount, those first that expire first. */
    List<TokenBatch> takeOldest(long microTokens, long now) {
        return take(Math.min(microTokens, total(now)), true);
    }

    /** Takes up to an amount, those first that expire last, since a transfer takes time. */
    List<TokenBatch> takeYoungest(long microTokens, long now) {
        return take(Math.min(microTokens, total(now)), false);
    }

    private List<TokenBatch> take(long microTokens, boolean oldestFirst) {
        List<TokenBatch> taken = new ArrayList<>();
        long missing = microTokens;
        while (missing > 0) {
            Map.Entry<Long, Long> entry =
                    oldestFirst
                            ? amountsByExpiry.pollFirstEntry()
                            : amountsByExpiry.pollLastEntry();
            long amount = Math.min(missing, entry.getValue());
            if (amount < entry.getValue()) {
                amountsByExpiry.put(entry.getKey(), entry.getValue() - amount);
            }
            taken.add(new TokenBatch(entry.getKey(), amount));
            missing -= amount;
            totalMicroTokens -= amount;
        }
        return taken;
    }
}
