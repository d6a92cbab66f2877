package org.siskinramp.quota;

/**
 * Mints this host's share of the tokens of one workspace. A host that was busy or frozen does not
 * mint more afterwards than one token's age allows. Not thread-safe; guarded by the lock of its
 * owner.
 */
final class TokenMint {

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    /** Tokens of the same slice of time expire together. */
    private static final long SLICE_MILLISECONDS = 50;

    /** A long age is divided into no more slices than this. */
    private static final long MAXIMUM_SLICES = 16;

    private long mintedUntilMilliseconds;
    private double remainder;

    /**
     * Creates a mint.
     *
     * @param nowMilliseconds the monotonic time from which tokens are minted
     */
    TokenMint(long nowMilliseconds) {
        mintedUntilMilliseconds = nowMilliseconds;
    }

    /** Mints the tokens since the last call into a stock; with no hosts known, none. */
    void mintInto(TokenStock stock, TokenClock clock, int hosts) {
        long now = clock.monotonicMilliseconds();
        long tokenTime = clock.milliseconds();
        QuotaTerms terms = stock.terms();
        long slice = Math.max(SLICE_MILLISECONDS, terms.lifetimeMilliseconds() / MAXIMUM_SLICES);
        long start = Math.max(mintedUntilMilliseconds, now - terms.lifetimeMilliseconds());
        mintedUntilMilliseconds = now;
        while (hosts > 0 && start < now) {
            long end = Math.min(now, start + slice);
            long expiry = tokenTime - (now - start) + terms.lifetimeMilliseconds();
            double minted =
                    remainder
                            + terms.tokensPerSecond()
                                    / hosts
                                    * (end - start)
                                    / MILLISECONDS_PER_SECOND
                                    * TokenBatch.ONE_TOKEN;
            stock.add(new TokenBatch(expiry, (long) minted), tokenTime);
            remainder = minted - Math.floor(minted);
            start = end;
        }
    }
}
