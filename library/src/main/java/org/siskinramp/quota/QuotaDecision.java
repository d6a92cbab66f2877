package org.siskinramp.quota;

/**
 * The decision about a request of a workspace.
 *
 * @param isGranted whether the request may run
 * @param tokenExpiresMilliseconds when the token of a granted request expires; {@link #NO_TOKEN} if
 *     the workspace has no quota
 * @param retryAfterMilliseconds after what time a refused request should be sent again
 */
public record QuotaDecision(
        boolean isGranted, long tokenExpiresMilliseconds, long retryAfterMilliseconds) {

    /** The expiry in a decision that took no token. */
    public static final long NO_TOKEN = Long.MIN_VALUE;

    static final QuotaDecision UNLIMITED = new QuotaDecision(true, NO_TOKEN, 0);

    static QuotaDecision granted(long tokenExpiresMilliseconds) {
        return new QuotaDecision(true, tokenExpiresMilliseconds, 0);
    }

    static QuotaDecision refused(long retryAfterMilliseconds) {
        return new QuotaDecision(false, NO_TOKEN, retryAfterMilliseconds);
    }
}
