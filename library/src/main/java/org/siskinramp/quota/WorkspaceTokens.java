package org.siskinramp.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.routing.DeferredActions;

/**
 * The tokens, the demand and the waiting requests of one workspace on this host. Not thread-safe;
 * guarded by the lock of the {@link QuotaLimiter}.
 */
final class WorkspaceTokens {

    /** How long a request waits for tokens of other hosts, which are two messages away. */
    static final long WAIT_MILLISECONDS = 50;

    /** For this long after waiting in vain, further requests do not wait. */
    private static final long SHORTAGE_MILLISECONDS = 20;

    /** A request that has to wait behind more is refused in any case. */
    private static final int MAXIMUM_WAITING = 256;

    /** A request of the next interval between reports should find a token. */
    private static final double KEPT_DEMAND_SECONDS = 0.25;

    /** A host with less demand asks for each token. */
    private static final double KEPT_TOKEN_MINIMUM_PER_SECOND = 1.5;

    /** The demand that a host asks for in advance. */
    private static final double ASKED_DEMAND_SECONDS = 0.1;

    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final TokenStock stock;
    private final TokenMint mint;
    private final DemandEstimate demand = new DemandEstimate();
    private final DemandEstimate supply = new DemandEstimate();
    private final Deque<Waiter> waiting = new ArrayDeque<>();
    private long askedAt = NEVER;
    private long shortUntil = NEVER;
    private long used;
    private long refused;
    private long givenMicroTokens;
    private long receivedMicroTokens;

    WorkspaceTokens(QuotaTerms terms, TokenClock clock) {
        stock = new TokenStock(terms);
        mint = new TokenMint(clock.monotonicMilliseconds());
    }

    TokenStock stock() {
        return stock;
    }

    void mint(TokenClock clock, int hosts) {
        long before = stock.total(clock.milliseconds());
        mint.mintInto(stock, clock, hosts);
        long now = clock.milliseconds();
        supply.add(Math.max(0, stock.total(now) - before), now);
    }

    void recordDemand(long now) {
        demand.add(TokenBatch.ONE_TOKEN, now);
    }

    OptionalLong useOne(long now) {
        OptionalLong expiry = waiting.isEmpty() ? stock.useOne(now) : OptionalLong.empty();
        used += expiry.isPresent() ? 1 : 0;
        return expiry;
    }

    boolean mayWait(long now) {
        return now >= shortUntil && waiting.size() < MAXIMUM_WAITING;
    }

    void addWaiter(CompletableFuture<QuotaDecision> decision, long now) {
        waiting.add(new Waiter(decision, now + WAIT_MILLISECONDS));
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Returns the amount to ask for, 0 if nothing is needed or an answer is outstanding. */
    long takeAsk(long now) {
        if (waiting.isEmpty() || now - askedAt < WAIT_MILLISECONDS) {
            return 0;
        }
        askedAt = now;
        long needed =
                waiting.size() * TokenBatch.ONE_TOKEN
                        + (long) (demand.perSecond(now) * ASKED_DEMAND_SECONDS);
        return Math.max(0, needed - stock.total(now));
    }

    /** Admits waiting requests, the first one first, while there are tokens. */
    void serveWaiting(long now, DeferredActions deferred) {
        while (!waiting.isEmpty()) {
            if (waiting.peek().decision.isDone()) {
                waiting.remove();
                continue;
            }
            OptionalLong expiry = stock.useOne(now);
            if (expiry.isEmpty()) {
                return;
            }
            used++;
            complete(waiting.remove(), QuotaDecision.granted(expiry.getAsLong()), deferred);
        }
    }

    void refuseOverdue(long now, long jitterPermille, DeferredActions deferred) {
        while (!waiting.isEmpty() && waiting.peek().untilMilliseconds <= now) {
            shortUntil = now + SHORTAGE_MILLISECONDS;
            complete(waiting.remove(), refuse(now, jitterPermille), deferred);
        }
    }

    /** Completes all waiting requests after the quota was removed. */
    void admitWaiting(DeferredActions deferred) {
        while (!waiting.isEmpty()) {
            complete(waiting.remove(), QuotaDecision.UNLIMITED, deferred);
        }
    }

    private void complete(Waiter waiter, QuotaDecision decision, DeferredActions deferred) {
        deferred.add(
                () -> {
                    boolean unused = waiter.decision.complete(decision);
                });
    }

    /** Refuses a request until the next token is expected, with jitter. */
    QuotaDecision refuse(long now, long jitterPermille) {
        refused++;
        double tokensPerSecond = supply.perSecond(now) / TokenBatch.ONE_TOKEN;
        double expected = MILLISECONDS_PER_SECOND * (waiting.size() + 1) / tokensPerSecond;
        return QuotaDecision.refused(RefusalDelay.milliseconds(expected, jitterPermille));
    }

    /** Returns a token of a request that certainly did not run. */
    void giveBack(long expiresMilliseconds, long now) {
        used--;
        stock.add(new TokenBatch(expiresMilliseconds, TokenBatch.ONE_TOKEN), now);
    }

    void recordReceived(long microTokens, long now) {
        askedAt = NEVER;
        receivedMicroTokens += microTokens;
        supply.add(microTokens, now);
    }

    void recordGiven(long microTokens) {
        givenMicroTokens += microTokens;
    }

    /** Returns the amount that this host does not need until its next report. */
    long surplus(long now) {
        double perSecond = demand.perSecond(now);
        long kept =
                perSecond < KEPT_TOKEN_MINIMUM_PER_SECOND * TokenBatch.ONE_TOKEN
                        ? 0
                        : TokenBatch.ONE_TOKEN + (long) (perSecond * KEPT_DEMAND_SECONDS);
        return Math.max(0, stock.total(now) - kept);
    }

    QuotaUsage usage(String workspace) {
        return new QuotaUsage(
                workspace,
                used,
                refused,
                (double) givenMicroTokens / TokenBatch.ONE_TOKEN,
                (double) receivedMicroTokens / TokenBatch.ONE_TOKEN);
    }

    private record Waiter(CompletableFuture<QuotaDecision> decision, long untilMilliseconds) {}
}
