package org.siskinramp.quota;

/**
 * An immutable amount of tokens that expires. A request takes one token.
 *
 * @param expiresMilliseconds when the tokens expire, by the {@link TokenClock} of their holder
 * @param microTokens the amount in millionths of a token, so that hosts can mint small fractions
 */
public record TokenBatch(long expiresMilliseconds, long microTokens) {

    /** The amount that one request takes. */
    public static final long ONE_TOKEN = 1_000_000;
}
