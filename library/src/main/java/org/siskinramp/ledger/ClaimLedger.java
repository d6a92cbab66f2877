package org.siskinramp.ledger;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.siskinramp.ledger.ClaimTable.Entry;
import org.siskinramp.ledger.ClaimTable.Seen;
import org.siskinramp.log.Counter;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.platform.Platform;
import org.siskinramp.platform.TimeLimitedPlatform;
import org.siskinramp.request.Answer;
import org.siskinramp.request.Request;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/**
 * Lets each non-idempotent request run at most once, whichever entry host it reaches.
 *
 * <pre>{@code
 * ledger.claim(request).thenAccept(result -> {
 *     if (result instanceof ClaimResult.Granted granted) {
 *         run(request, granted.claim());
 *     }
 * });
 * }</pre>
 */
public final class ClaimLedger {

    private final LedgerParts parts;
    private final String host;
    private final String incarnation;
    private final TokenSource tokens;
    private final ClaimTable table;
    private final AnswerStore answers;
    private final Settlements settlements;
    private final ClaimDecisions decisions;
    private final ClaimQueue queue;

    private ClaimLedger(Builder builder) {
        LedgerOptions options = builder.options;
        Platform platform =
                new TimeLimitedPlatform(
                        builder.platform,
                        builder.scheduler,
                        builder.counters,
                        options.callLimitMilliseconds());
        parts =
                new LedgerParts(
                        platform,
                        builder.clock,
                        builder.scheduler,
                        builder.eventLog,
                        builder.counters,
                        options,
                        new Circuit(
                                builder.clock,
                                options.circuitFailures(),
                                options.circuitIntervalMilliseconds()),
                        new WriteBudget(
                                builder.clock,
                                builder.hosts,
                                options.transactionsPerSecond(),
                                options.transactionBurst()));
        host = builder.host;
        incarnation = builder.incarnation;
        tokens = new TokenSource(host + "/" + incarnation, builder.random);
        table = new ClaimTable(options.openClaimLimit());
        answers = new AnswerStore(platform, options.rowAnswerBytes());
        settlements = new Settlements(parts, table, answers);
        decisions = new ClaimDecisions(parts, table, settlements, answers);
        queue =
                new ClaimQueue(
                        parts, group -> new ClaimGroup(parts, table, decisions, group).commit());
    }

    /**
     * Starts a ledger.
     *
     * @return an empty builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Asks for the right to run a request.
     *
     * @param request a non-idempotent request
     * @return the right, or the answer of the earlier run; fails with {@code IN_PROGRESS}, {@code
     *     REQUEST_ID_REUSED}, {@code OUTCOME_UNKNOWN}, {@code DEADLINE_PASSED} or {@code
     *     CLAIM_UNCONFIRMED}. After any of these this copy of the request is never granted.
     */
    public CompletableFuture<ClaimResult> claim(Request request) {
        long limitMilliseconds =
                Math.min(
                        request.deadlineMilliseconds() - parts.clock().monotonicMilliseconds(),
                        parts.options().claimLimitMilliseconds());
        if (limitMilliseconds <= 0) {
            return CompletableFuture.failedFuture(
                    new ResultException(ResultCode.DEADLINE_PASSED, "before the claim"));
        }
        Entry entry = new Entry(request, newRow(request));
        Optional<Seen> seen = table.find(request.key());
        if (seen.isPresent()) {
            return ofDuplicate(request, seen.get());
        }
        if (table.isFull()) {
            return CompletableFuture.failedFuture(
                    ClaimRefusals.unconfirmed(
                            "too many claims are open", ClaimRefusals.RETRY_MILLISECONDS));
        }
        if (!parts.circuit().admit()) {
            return CompletableFuture.failedFuture(
                    ClaimRefusals.unconfirmed(
                            "the platform fails", parts.circuit().retryAfterMilliseconds()));
        }
        if (!table.add(entry)) {
            return claim(request);
        }
        queue.add(entry);
        parts.scheduler()
                .schedule(
                        limitMilliseconds,
                        () ->
                                decisions.refuse(
                                        entry,
                                        ClaimRefusals.unconfirmed(
                                                "not confirmed in time",
                                                ClaimRefusals.RETRY_MILLISECONDS)));
        return entry.result();
    }

    private ClaimRow newRow(Request request) {
        long now = parts.clock().calendarMilliseconds();
        long remaining = request.deadlineMilliseconds() - parts.clock().monotonicMilliseconds();
        return new ClaimRow(
                ClaimState.CLAIMED,
                tokens.next(),
                host,
                incarnation,
                request.contentHash(),
                now,
                now + remaining,
                0,
                Optional.empty());
    }

    private CompletableFuture<ClaimResult> ofDuplicate(Request request, Seen seen) {
        if (!seen.row().contentHash().equals(request.contentHash())) {
            return CompletableFuture.failedFuture(
                    ClaimRefusals.reused("claim=" + seen.row().token()));
        }
        if (seen.answer().isPresent()) {
            return CompletableFuture.completedFuture(
                    new ClaimResult.Kept(seen.answer().get().asReplay()));
        }
        ClaimState state = seen.row().state();
        if (state == ClaimState.UNKNOWN) {
            return CompletableFuture.failedFuture(ClaimRefusals.unknown(seen.row()));
        }
        if (state == ClaimState.RELEASED) {
            return CompletableFuture.failedFuture(
                    ClaimRefusals.unconfirmed(
                            "an earlier claim of it is being released",
                            ClaimRefusals.RETRY_MILLISECONDS));
        }
        return CompletableFuture.failedFuture(
                ClaimRefusals.inProgress(
                        "on this host",
                        seen.deadlineMilliseconds() - parts.clock().monotonicMilliseconds()));
    }

    /**
     * Keeps the answer of a request, so that later copies are given the same.
     *
     * @param claim the claim that the request ran under
     * @param answer the whole answer
     * @return completes once it is durable
     */
    public CompletableFuture<Void> recordOutcome(Claim claim, Answer answer) {
        KeptAnswer kept = answers.describe(answer, claim.token());
        return settle(claim, ClaimState.FINISHED, Optional.of(kept), Optional.of(answer));
    }

    /**
     * Gives a claim back. Call it only on proof that the request did not run and will not.
     *
     * @param claim the claim
     * @return completes once it is durable
     */
    public CompletableFuture<Void> release(Claim claim) {
        return settle(claim, ClaimState.RELEASED, Optional.empty(), Optional.empty());
    }

    /**
     * Ends a claim whose request may have run without its answer being known.
     *
     * @param claim the claim
     * @return completes once it is durable
     */
    public CompletableFuture<Void> abandon(Claim claim) {
        return settle(claim, ClaimState.UNKNOWN, Optional.empty(), Optional.empty());
    }

    private CompletableFuture<Void> settle(
            Claim claim, ClaimState state, Optional<KeptAnswer> kept, Optional<Answer> answer) {
        Optional<Entry> entry =
                table.settle(claim, state, parts.clock().calendarMilliseconds(), kept, answer);
        if (entry.isEmpty()) {
            return refuseSecondEnd(claim, state);
        }
        Settlement settlement =
                Settlement.ofGranted(
                        entry.get(), table.row(entry.get()), answer, table.version(entry.get()));
        settlements.add(settlement);
        return settlement.done();
    }

    private CompletableFuture<Void> refuseSecondEnd(Claim claim, ClaimState state) {
        parts.counters().add(Counter.INVARIANT_VIOLATIONS);
        parts.eventLog()
                .record(
                        LogEvent.named("claim_not_open")
                                .with("request", claim.key())
                                .with("claim", claim.token())
                                .with("state", state.word()));
        return CompletableFuture.failedFuture(
                new ResultException(
                        ResultCode.INVARIANT_VIOLATED, "the claim is not open: " + claim));
    }

    /**
     * Counts the claims that are open or whose end is not durable yet. A planned stop waits until
     * there are none.
     *
     * @return the unsettled claims of this host
     */
    public int unsettled() {
        return table.size();
    }

    /** Collects the parts of a ledger. */
    public static final class Builder {

        private Platform platform;
        private Clock clock;
        private Scheduler scheduler;
        private UniformRandomProvider random;
        private EventLog eventLog;
        private Counters counters;
        private String host;
        private String incarnation;
        private LedgerOptions options = LedgerOptions.builder().build();
        private IntSupplier hosts = () -> 1;

        private Builder() {}

        /**
         * Sets the platform.
         *
         * @param value the platform
         * @return this builder
         */
        public Builder platform(Platform value) {
            platform = value;
            return this;
        }

        /**
         * Sets the clock.
         *
         * @param value the clock
         * @return this builder
         */
        public Builder clock(Clock value) {
            clock = value;
            return this;
        }

        /**
         * Sets what runs delayed tasks.
         *
         * @param value the scheduler
         * @return this builder
         */
        public Builder scheduler(Scheduler value) {
            scheduler = value;
            return this;
        }

        /**
         * Sets the source of randomness for tokens.
         *
         * @param value the source, which nothing else uses at the same time
         * @return this builder
         */
        public Builder random(UniformRandomProvider value) {
            random = value;
            return this;
        }

        /**
         * Sets where events go.
         *
         * @param value the event log
         * @return this builder
         */
        public Builder eventLog(EventLog value) {
            eventLog = value;
            return this;
        }

        /**
         * Sets where counts go.
         *
         * @param value the counters
         * @return this builder
         */
        public Builder counters(Counters value) {
            counters = value;
            return this;
        }

        /**
         * Sets how many entry hosts share the budget of transactions.
         *
         * @param value gives the number of entry hosts
         * @return this builder
         */
        public Builder hosts(IntSupplier value) {
            hosts = value;
            return this;
        }

        /**
         * Sets the entry host and its incarnation, which together are never used twice.
         *
         * @param hostName the entry host's name
         * @param hostIncarnation an identifier that changes whenever the host starts anew
         * @return this builder
         */
        public Builder host(String hostName, String hostIncarnation) {
            host = hostName;
            incarnation = hostIncarnation;
            return this;
        }

        /**
         * Sets the options.
         *
         * @param value the options
         * @return this builder
         */
        public Builder options(LedgerOptions value) {
            options = value;
            return this;
        }

        /**
         * Builds the ledger.
         *
         * @return the ledger
         */
        public ClaimLedger build() {
            return new ClaimLedger(this);
        }
    }
}
