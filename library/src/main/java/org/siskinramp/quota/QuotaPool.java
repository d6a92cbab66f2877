package org.siskinramp.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.siskinramp.peer.QuotaNeed;
import org.siskinramp.peer.QuotaTokens;

/**
 * Holds the tokens that hosts without demand gave to this reader, for hosts whose callers send more
 * than their share. An ask that cannot be met waits a short time for tokens of other groups of
 * hosts. Not thread-safe; guarded by the lock of its owner.
 */
public final class QuotaPool {

    /** An unmet ask waits for less time than the request at the host. */
    private static final long WAIT_MILLISECONDS = 40;

    /** The asked amount that the pool keeps for the time until the next report to other readers. */
    private static final double KEPT_DEMAND_SECONDS = 0.5;

    /** The demand that is asked for in advance. */
    private static final double ASKED_DEMAND_SECONDS = 0.1;

    /** Bounds the memory for each workspace; a host has at most one ask for it. */
    private static final int MAXIMUM_WAITING_ASKS = 64;

    /** While the other readers have no tokens, they are asked this often. */
    private static final long ASK_INTERVAL_MILLISECONDS = 50;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final TokenClock clock;
    private final TokenStocks stocks;
    private final Map<String, Demand> demands = new HashMap<>();

    /**
     * Creates an empty pool.
     *
     * @param table the quotas of the configuration in force
     * @param clock the clock by which tokens age
     */
    public QuotaPool(QuotaTable table, TokenClock clock) {
        this.clock = clock;
        stocks = new TokenStocks(table);
    }

    /**
     * Adds tokens, and meets waiting asks with them.
     *
     * @param added the tokens
     * @param transitMilliseconds an upper bound of their time on the way
     * @return the tokens for hosts whose asks waited, by host
     */
    public Map<String, List<QuotaTokens>> add(List<QuotaTokens> added, long transitMilliseconds) {
        long now = clock.milliseconds();
        Map<String, List<QuotaTokens>> grants = new LinkedHashMap<>();
        for (QuotaTokens tokens : added) {
            stocks.find(tokens.workspace(), now)
                    .ifPresent(
                            stock -> {
                                if (TokenTransfer.addTo(stock, tokens, transitMilliseconds, now)
                                        > 0) {
                                    meetWaitingAsks(tokens.workspace(), stock, now, grants);
                                }
                            });
        }
        return grants;
    }

    private void meetWaitingAsks(
            String workspace, TokenStock stock, long now, Map<String, List<QuotaTokens>> grants) {
        Demand demand = demandFor(workspace);
        demand.askedAt = NEVER;
        demand.waiting.removeIf(ask -> ask.untilMilliseconds <= now);
        while (!demand.waiting.isEmpty() && stock.total(now) >= TokenBatch.ONE_TOKEN) {
            WaitingAsk ask = demand.waiting.remove();
            grants.computeIfAbsent(ask.host, name -> new ArrayList<>())
                    .add(take(workspace, stock, ask.microTokens, now));
        }
    }

    private Demand demandFor(String workspace) {
        return demands.computeIfAbsent(workspace, name -> new Demand());
    }

    private static QuotaTokens take(
            String workspace, TokenStock stock, long microTokens, long now) {
        return TokenTransfer.toMessage(
                workspace, stock.terms(), stock.takeOldest(microTokens, now), now);
    }

    /**
     * Takes tokens for a host. What is missing waits for tokens of other hosts.
     *
     * @param host the host
     * @param needs what it needs
     * @return the tokens that the pool holds, none for a workspace whose ask waits
     */
    public List<QuotaTokens> ask(String host, List<QuotaNeed> needs) {
        long now = clock.milliseconds();
        List<QuotaTokens> granted = new ArrayList<>();
        for (QuotaNeed need : needs) {
            TokenStock stock = stocks.find(need.workspace(), now).orElse(null);
            if (stock == null || need.microTokens() <= 0) {
                continue;
            }
            Demand demand = demandFor(need.workspace());
            demand.estimate.add(need.microTokens(), now);
            demand.waiting.removeIf(ask -> ask.untilMilliseconds <= now);
            if (stock.total(now) >= TokenBatch.ONE_TOKEN) {
                granted.add(take(need.workspace(), stock, need.microTokens(), now));
            } else if (demand.waiting.size() < MAXIMUM_WAITING_ASKS) {
                demand.waiting.add(
                        new WaitingAsk(host, need.microTokens(), now + WAIT_MILLISECONDS));
            }
        }
        return granted;
    }

    /**
     * Returns what this reader should ask other readers for now: what waits, and some demand in
     * advance.
     *
     * @return the needs, none if no ask waits
     */
    public List<QuotaNeed> takeNeeds() {
        long now = clock.milliseconds();
        List<QuotaNeed> needs = new ArrayList<>();
        for (Map.Entry<String, Demand> entry : demands.entrySet()) {
            Demand demand = entry.getValue();
            demand.waiting.removeIf(ask -> ask.untilMilliseconds <= now);
            if (!demand.waiting.isEmpty() && now - demand.askedAt >= ASK_INTERVAL_MILLISECONDS) {
                demand.askedAt = now;
                long waiting = demand.waiting.stream().mapToLong(WaitingAsk::microTokens).sum();
                long ahead = (long) (demand.estimate.perSecond(now) * ASKED_DEMAND_SECONDS);
                needs.add(new QuotaNeed(entry.getKey(), waiting + ahead));
            }
        }
        return needs;
    }

    /**
     * Takes the tokens that the hosts of this reader do not need before the next call.
     *
     * @param workspace the workspace
     * @return the tokens, which the pool has deducted; empty if it needs all
     */
    public Optional<QuotaTokens> takeSurplus(String workspace) {
        long now = clock.milliseconds();
        Optional<TokenStock> stock = stocks.find(workspace, now);
        if (stock.isEmpty()) {
            demands.remove(workspace);
            return Optional.empty();
        }
        double perSecond = demandFor(workspace).estimate.perSecond(now);
        long amount = stock.get().total(now) - (long) (perSecond * KEPT_DEMAND_SECONDS);
        if (amount <= 0) {
            return Optional.empty();
        }
        return Optional.of(
                TokenTransfer.toMessage(
                        workspace,
                        stock.get().terms(),
                        stock.get().takeYoungest(amount, now),
                        now));
    }

    private record WaitingAsk(String host, long microTokens, long untilMilliseconds) {}

    private static final class Demand {

        private final DemandEstimate estimate = new DemandEstimate();
        private final Deque<WaitingAsk> waiting = new ArrayDeque<>();
        private long askedAt = NEVER;
    }
}
