package org.siskinramp.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Holds the tokens of several workspaces, and drops those of workspaces that have no quota any
 * more. Not thread-safe; guarded by the lock of its owner.
 */
final class TokenStocks {

    private final QuotaTable table;
    private final Map<String, TokenStock> byWorkspace = new HashMap<>();

    TokenStocks(QuotaTable table) {
        this.table = table;
    }

    /** Returns the tokens of a workspace, or empty if it has no quota. */
    Optional<TokenStock> find(String workspace, long now) {
        Optional<QuotaTerms> terms = table.find(workspace);
        if (terms.isEmpty()) {
            byWorkspace.remove(workspace);
            return Optional.empty();
        }
        TokenStock stock =
                byWorkspace.computeIfAbsent(workspace, name -> new TokenStock(terms.get()));
        stock.adapt(terms.get(), now);
        return Optional.of(stock);
    }
}
