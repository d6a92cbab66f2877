package org.siskinramp.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.siskinramp.peer.QuotaNeed;
import org.siskinramp.peer.QuotaTokens;
import org.siskinramp.routing.DeferredActions;
import org.siskinramp.time.Scheduler;

/**
 * Limits the requests of each workspace over all hosts together, when callers of a workspace are
 * connected to few hosts, or one workspace sends many times its usual demand. This host mints its
 * share of the tokens; a request takes a token, and waits a short time for those of other hosts if
 * there is none here. Without a reader, only the share of this host is used. Thread-safe.
 */
public final class QuotaLimiter {

    private final QuotaTable table;
    private final TokenClock clock;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, WorkspaceTokens> byWorkspace = new HashMap<>();
    private Map<String, QuotaTerms> appliedTerms = Map.of();
    private volatile Supplier<HostCount> hostCount = () -> HostCount.UNKNOWN;
    private volatile Runnable needListener = () -> {};
    private volatile boolean hasReader;
    private boolean checksWaiting;

    /**
     * Creates a limiter of a host that does not know other hosts yet, and mints nothing.
     *
     * @param table the quotas of the configuration in force
     * @param clock the clock by which tokens age
     * @param scheduler runs delayed tasks
     * @param random provides the jitter of delays
     */
    public QuotaLimiter(
            QuotaTable table, TokenClock clock, Scheduler scheduler, UniformRandomProvider random) {
        this.table = table;
        this.clock = clock;
        this.scheduler = scheduler;
        this.random = random;
    }

    /**
     * Connects this limiter with other hosts.
     *
     * @param count returns how many hosts share the rates
     * @param listener is called, without a lock held, when this host needs tokens
     */
    public void connect(Supplier<HostCount> count, Runnable listener) {
        hostCount = count;
        needListener = listener;
    }

    /**
     * Sets whether requests may wait for tokens of other hosts.
     *
     * @param isPresent whether this host has a reader
     */
    public void setReaderPresent(boolean isPresent) {
        hasReader = isPresent;
    }

    /**
     * Decides whether a request may run.
     *
     * @param workspace the name of its workspace
     * @return the decision, which follows within 50 ms; cancel it if the caller has left
     */
    public CompletableFuture<QuotaDecision> acquire(String workspace) {
        CompletableFuture<QuotaDecision> decision = new CompletableFuture<>();
        boolean[] isNeeded = new boolean[1];
        runLocked(
                deferred -> {
                    WorkspaceTokens tokens = byWorkspace.get(workspace);
                    if (tokens == null) {
                        decision.complete(QuotaDecision.UNLIMITED);
                        return;
                    }
                    isNeeded[0] = decide(tokens, decision);
                });
        if (isNeeded[0]) {
            needListener.run();
        }
        return decision;
    }

    /** Returns true if the request waits for tokens of other hosts. */
    private boolean decide(WorkspaceTokens tokens, CompletableFuture<QuotaDecision> decision) {
        long now = clock.milliseconds();
        tokens.mint(clock, hostCount.get().divisor());
        tokens.recordDemand(now);
        OptionalLong expiry = tokens.useOne(now);
        if (expiry.isPresent()) {
            decision.complete(QuotaDecision.granted(expiry.getAsLong()));
        } else if (hasReader && tokens.mayWait(now)) {
            tokens.addWaiter(decision, now);
            scheduleWaitingCheck();
            return true;
        } else {
            decision.complete(tokens.refuse(now, jitterPermille()));
        }
        return false;
    }

    private void scheduleWaitingCheck() {
        if (!checksWaiting) {
            checksWaiting = true;
            scheduler.schedule(WorkspaceTokens.WAIT_MILLISECONDS, this::checkWaiting);
        }
    }

    private void checkWaiting() {
        runLocked(
                deferred -> {
                    checksWaiting = false;
                    long now = clock.milliseconds();
                    for (WorkspaceTokens tokens : byWorkspace.values()) {
                        tokens.serveWaiting(now, deferred);
                        tokens.refuseOverdue(now, jitterPermille(), deferred);
                        if (tokens.hasWaiting()) {
                            scheduleWaitingCheck();
                        }
                    }
                });
    }

    private long jitterPermille() {
        return random.nextInt(RefusalDelay.JITTER_BOUND_PERMILLE);
    }

    /**
     * Takes back the token of a request that certainly did not run.
     *
     * @param workspace the name of its workspace
     * @param decision the decision that granted the request
     */
    public void release(String workspace, QuotaDecision decision) {
        if (!decision.isGranted()
                || decision.tokenExpiresMilliseconds() == QuotaDecision.NO_TOKEN) {
            return;
        }
        runLocked(
                deferred -> {
                    WorkspaceTokens tokens = byWorkspace.get(workspace);
                    if (tokens != null) {
                        long now = clock.milliseconds();
                        tokens.giveBack(decision.tokenExpiresMilliseconds(), now);
                        tokens.serveWaiting(now, deferred);
                    }
                });
    }

    /** Mints tokens and admits waiting requests; called several times a second. */
    public void tick() {
        runLocked(
                deferred -> {
                    int hosts = hostCount.get().divisor();
                    for (WorkspaceTokens tokens : byWorkspace.values()) {
                        tokens.mint(clock, hosts);
                        tokens.serveWaiting(clock.milliseconds(), deferred);
                    }
                });
    }

    /**
     * Returns what this host should ask its reader for now. At most one ask for a workspace is
     * outstanding.
     *
     * @return the needs, none if no request waits
     */
    public List<QuotaNeed> takeNeeds() {
        List<QuotaNeed> needs = new ArrayList<>();
        runLocked(
                deferred ->
                        byWorkspace.forEach(
                                (workspace, tokens) -> {
                                    long amount = tokens.takeAsk(clock.milliseconds());
                                    if (amount > 0) {
                                        needs.add(new QuotaNeed(workspace, amount));
                                    }
                                }));
        return needs;
    }

    /**
     * Adds tokens that the reader granted, and admits waiting requests.
     *
     * @param granted the tokens
     * @param transitMilliseconds an upper bound of their time on the way
     */
    public void addGranted(List<QuotaTokens> granted, long transitMilliseconds) {
        runLocked(
                deferred -> {
                    long now = clock.milliseconds();
                    for (QuotaTokens added : granted) {
                        WorkspaceTokens tokens = byWorkspace.get(added.workspace());
                        if (tokens != null) {
                            long amount =
                                    TokenTransfer.addTo(
                                            tokens.stock(), added, transitMilliseconds, now);
                            tokens.recordReceived(amount, now);
                            tokens.serveWaiting(now, deferred);
                        }
                    }
                });
    }

    /**
     * Takes the tokens that this host does not need.
     *
     * @param workspaces the workspaces of which some host needs tokens
     * @return the tokens, which this host has deducted
     */
    public List<QuotaTokens> takeSurplus(Collection<String> workspaces) {
        List<QuotaTokens> surplus = new ArrayList<>();
        runLocked(
                deferred -> {
                    for (String workspace : workspaces) {
                        WorkspaceTokens tokens = byWorkspace.get(workspace);
                        if (tokens != null) {
                            addSurplus(workspace, tokens, surplus);
                        }
                    }
                });
        return surplus;
    }

    private void addSurplus(String workspace, WorkspaceTokens tokens, List<QuotaTokens> surplus) {
        tokens.mint(clock, hostCount.get().divisor());
        long now = clock.milliseconds();
        long amount = tokens.surplus(now);
        if (amount > 0) {
            List<TokenBatch> batches = tokens.stock().takeOldest(amount, now);
            tokens.recordGiven(amount);
            surplus.add(TokenTransfer.toMessage(workspace, tokens.stock().terms(), batches, now));
        }
    }

    /**
     * Returns what this host did with the tokens of the workspaces with the most requests.
     *
     * @param limit the largest number of workspaces
     * @return the workspaces whose requests came here, the busiest first
     */
    public List<QuotaUsage> busiest(int limit) {
        List<QuotaUsage> usage = new ArrayList<>();
        runLocked(
                deferred ->
                        byWorkspace.forEach(
                                (workspace, tokens) -> usage.add(tokens.usage(workspace))));
        return usage.stream()
                .filter(each -> each.requests() > 0)
                .sorted(Comparator.comparingLong(QuotaUsage::requests).reversed())
                .limit(limit)
                .toList();
    }

    private void runLocked(Consumer<DeferredActions> command) {
        DeferredActions.runLocked(
                lock,
                deferred -> {
                    applyTerms(deferred);
                    command.accept(deferred);
                });
    }

    private void applyTerms(DeferredActions deferred) {
        Map<String, QuotaTerms> terms = table.all();
        if (terms == appliedTerms) {
            return;
        }
        appliedTerms = terms;
        long now = clock.milliseconds();
        byWorkspace
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean isRemoved = !terms.containsKey(entry.getKey());
                            if (isRemoved) {
                                entry.getValue().admitWaiting(deferred);
                            }
                            return isRemoved;
                        });
        terms.forEach(
                (workspace, quota) ->
                        byWorkspace
                                .computeIfAbsent(
                                        workspace, name -> new WorkspaceTokens(quota, clock))
                                .stock()
                                .adapt(quota, now));
    }
}
