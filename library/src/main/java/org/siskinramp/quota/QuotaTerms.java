package org.siskinramp.quota;

import org.siskinramp.workspace.Workspace;

/**
 * The quota of a workspace in terms of tokens.
 *
 * @param tokensPerSecond how many tokens all hosts together mint in a second
 * @param lifetimeMilliseconds the age at which a token expires
 */
public record QuotaTerms(double tokensPerSecond, long lifetimeMilliseconds) {

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    static QuotaTerms of(Workspace workspace, QuotaOptions options) {
        double burstMilliseconds =
                MILLISECONDS_PER_SECOND * workspace.burst() / workspace.requestsPerSecond();
        return new QuotaTerms(
                workspace.requestsPerSecond(),
                Math.round(burstMilliseconds) + options.toleratedAgeMilliseconds());
    }

    /** Returns the most tokens that can exist at a time, in millionths of a token. */
    long capacityMicroTokens() {
        return (long)
                (tokensPerSecond
                        * lifetimeMilliseconds
                        / MILLISECONDS_PER_SECOND
                        * TokenBatch.ONE_TOKEN);
    }
}
