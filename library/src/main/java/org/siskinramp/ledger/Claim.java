package org.siskinramp.ledger;

import java.util.Objects;
import org.siskinramp.request.RequestKey;

/**
 * Represents a granted claim: the right to run one non-idempotent request. It must be settled by
 * exactly one call of {@link ClaimLedger#recordOutcome}, {@link ClaimLedger#release} or {@link
 * ClaimLedger#abandon}.
 */
public final class Claim {

    private final RequestKey key;
    private final String token;
    private final String contentHash;

    Claim(RequestKey key, String token, String contentHash) {
        this.key = Objects.requireNonNull(key, "key");
        this.token = Objects.requireNonNull(token, "token");
        this.contentHash = Objects.requireNonNull(contentHash, "contentHash");
    }

    /**
     * Returns the caller and identifier of the request.
     *
     * @return the key
     */
    public RequestKey key() {
        return key;
    }

    /**
     * Returns the token, which is unique to this claim.
     *
     * @return the token
     */
    public String token() {
        return token;
    }

    /**
     * Returns the hash of the request's content.
     *
     * @return the hash in hexadecimal
     */
    public String contentHash() {
        return contentHash;
    }

    @Override
    public String toString() {
        return key + " " + token;
    }
}
