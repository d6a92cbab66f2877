package org.siskinramp.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.siskinramp.peer.QuotaNeed;
import org.siskinramp.peer.QuotaTokens;

/**
 * Balances tokens between groups of hosts, when the callers of a workspace are connected to hosts
 * of few groups. Readers give their surplus here, and ask for what their hosts need. If several
 * readers ask, each gets tokens in proportion to its demand. Not thread-safe; guarded by the lock
 * of its owner.
 */
public final class QuotaBalance {

    private final TokenClock clock;
    private final TokenStocks stocks;
    private final Map<String, Map<String, DemandEstimate>> demands = new HashMap<>();

    /**
     * Creates an empty balance.
     *
     * @param table the quotas of the configuration in force
     * @param clock the clock by which tokens age
     */
    public QuotaBalance(QuotaTable table, TokenClock clock) {
        this.clock = clock;
        stocks = new TokenStocks(table);
    }

    /**
     * Adds the surplus of a reader.
     *
     * @param surplus the tokens
     * @param transitMilliseconds an upper bound of their time on the way
     */
    public void add(List<QuotaTokens> surplus, long transitMilliseconds) {
        long now = clock.milliseconds();
        for (QuotaTokens tokens : surplus) {
            stocks.find(tokens.workspace(), now)
                    .ifPresent(
                            stock -> {
                                long unused =
                                        TokenTransfer.addTo(
                                                stock, tokens, transitMilliseconds, now);
                            });
        }
    }

    /**
     * Takes tokens for a reader.
     *
     * @param reader the reader
     * @param needs what its hosts need
     * @return the tokens, at most its share by demand
     */
    public List<QuotaTokens> ask(String reader, List<QuotaNeed> needs) {
        long now = clock.milliseconds();
        List<QuotaTokens> granted = new ArrayList<>();
        for (QuotaNeed need : needs) {
            TokenStock stock = stocks.find(need.workspace(), now).orElse(null);
            if (stock == null) {
                demands.remove(need.workspace());
            } else if (need.microTokens() > 0) {
                double share = shareOf(reader, need, now);
                long amount =
                        Math.min(need.microTokens(), (long) (share * (double) stock.total(now)));
                if (amount > 0) {
                    granted.add(
                            TokenTransfer.toMessage(
                                    need.workspace(),
                                    stock.terms(),
                                    stock.takeOldest(amount, now),
                                    now));
                }
            }
        }
        return granted;
    }

    private double shareOf(String reader, QuotaNeed need, long now) {
        Map<String, DemandEstimate> byReader =
                demands.computeIfAbsent(need.workspace(), name -> new HashMap<>());
        DemandEstimate demand = byReader.computeIfAbsent(reader, name -> new DemandEstimate());
        demand.add(need.microTokens(), now);
        double total = 0;
        for (DemandEstimate each : byReader.values()) {
            total += each.perSecond(now);
        }
        return demand.perSecond(now) / total;
    }
}
