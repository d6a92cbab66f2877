package org.siskinramp.ledger;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.siskinramp.ledger.ClaimTable.Entry;
import org.siskinramp.ledger.ClaimTable.ExistingClaim;
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
 * Grants claims, so that each non-idempotent request runs at most once, whichever entry hosts its
 * copies reach.
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

    private final LedgerEnvironment environment;
    private final String host;
    private final String incarnation;
    private final TokenGenerator tokenGenerator;
    private final ClaimTable table;
    private final AnswerStore answerStore;
    private final SettlementWriter settlementWriter;
    private final ClaimCompleter completer;
    private final ClaimQueue queue;

    private ClaimLedger(Builder builder) {
        LedgerOptions options = builder.options;
        Platform platform =
                new TimeLimitedPlatform(
                        builder.platform,
                        builder.scheduler,
                        builder.counters,
                        options.callTimeLimitMilliseconds());
        environment =
                new LedgerEnvironment(
                        platform,
                        builder.clock,
                        builder.scheduler,
                        builder.eventLog,
                        builder.counters,
                        options,
                        new CircuitBreaker(
                                builder.clock,
                                options.circuitBreakerFailureLimit(),
                                options.circuitBreakerTrialIntervalMilliseconds()),
                        new TransactionRateLimiter(
                                builder.clock,
                                builder.hostCount,
                                options.transactionsPerSecond(),
                                options.transactionBurst()));
        host = builder.host;
        incarnation = builder.incarnation;
        tokenGenerator = new TokenGenerator(host + "/" + incarnation, builder.random);
        table = new ClaimTable(options.unsettledClaimLimit());
        answerStore = new AnswerStore(platform, options.maximumRowAnswerBytes());
        settlementWriter = new SettlementWriter(environment, table, answerStore);
        completer = new ClaimCompleter(environment, table, settlementWriter, answerStore);
        queue =
                new ClaimQueue(
                        environment,
                        group -> new ClaimGroup(environment, table, completer, group).commit());
    }

    /**
     * Starts to build a ledger.
     *
     * @return an empty builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Claims a request.
     *
     * @param request a non-idempotent request
     * @return the claim, or the answer of the earlier run; fails with {@code IN_PROGRESS}, {@code
     *     REQUEST_ID_REUSED}, {@code OUTCOME_UNKNOWN}, {@code DEADLINE_PASSED} or {@code
     *     CLAIM_UNCONFIRMED}. After any of these failures, this copy of the request is never
     *     granted a claim.
     */
    public CompletableFuture<ClaimResult> claim(Request request) {
        long timeLimitMilliseconds =
                Math.min(
                        request.deadlineMilliseconds()
                                - environment.clock().monotonicMilliseconds(),
                        environment.options().claimTimeLimitMilliseconds());
        if (timeLimitMilliseconds <= 0) {
            return CompletableFuture.failedFuture(
                    new ResultException(ResultCode.DEADLINE_PASSED, "before the claim"));
        }
        Entry entry = new Entry(request, newRow(request));
        Optional<ExistingClaim> existing = table.find(request.key());
        if (existing.isPresent()) {
            return resultForDuplicate(request, existing.get());
        }
        if (table.isFull()) {
            return CompletableFuture.failedFuture(
                    ClaimRefusals.unconfirmed(
                            "too many claims are open", ClaimRefusals.RETRY_AFTER_MILLISECONDS));
        }
        if (!environment.circuitBreaker().admit()) {
            return CompletableFuture.failedFuture(
                    ClaimRefusals.unconfirmed(
                            "the platform fails",
                            environment.circuitBreaker().retryAfterMilliseconds()));
        }
        if (!table.add(entry)) {
            return claim(request);
        }
        queue.add(entry);
        environment
                .scheduler()
                .schedule(
                        timeLimitMilliseconds,
                        () ->
                                completer.refuse(
                                        entry,
                                        ClaimRefusals.unconfirmed(
                                                "not confirmed in time",
                                                ClaimRefusals.RETRY_AFTER_MILLISECONDS)));
        return entry.result();
    }

    private ClaimRow newRow(Request request) {
        long now = environment.clock().calendarMilliseconds();
        long remainingMilliseconds =
                request.deadlineMilliseconds() - environment.clock().monotonicMilliseconds();
        return new ClaimRow(
                ClaimState.CLAIMED,
                tokenGenerator.next(),
                host,
                incarnation,
                request.contentHash(),
                now,
                now + remainingMilliseconds,
                0,
                Optional.empty());
    }

    /** Returns the result for a request whose key has an unsettled claim on this host. */
    private CompletableFuture<ClaimResult> resultForDuplicate(
            Request request, ExistingClaim existing) {
        if (!existing.row().contentHash().equals(request.contentHash())) {
            return CompletableFuture.failedFuture(
                    ClaimRefusals.requestIdReused("claim=" + existing.row().token()));
        }
        if (existing.answer().isPresent()) {
            return CompletableFuture.completedFuture(
                    new ClaimResult.Replayed(existing.answer().get().asReplay()));
        }
        ClaimState state = existing.row().state();
        if (state == ClaimState.UNKNOWN) {
            return CompletableFuture.failedFuture(ClaimRefusals.outcomeUnknown(existing.row()));
        }
        if (state == ClaimState.RELEASED) {
            return CompletableFuture.failedFuture(
                    ClaimRefusals.unconfirmed(
                            "an earlier claim of it is being released",
                            ClaimRefusals.RETRY_AFTER_MILLISECONDS));
        }
        return CompletableFuture.failedFuture(
                ClaimRefusals.inProgress(
                        "on this host",
                        existing.deadlineMilliseconds()
                                - environment.clock().monotonicMilliseconds()));
    }

    /**
     * Settles a claim with the answer of its request, which is replayed to later copies.
     *
     * @param claim the claim under which the request ran
     * @param answer the complete answer
     * @return completes once the answer is durable, or its row is found to violate an invariant;
     *     fails with {@code INVARIANT_VIOLATED} if the claim is not open
     */
    public CompletableFuture<Void> recordOutcome(Claim claim, Answer answer) {
        StoredAnswer storedAnswer = answerStore.toStoredAnswer(answer, claim.token());
        return settle(claim, ClaimState.FINISHED, Optional.of(storedAnswer), Optional.of(answer));
    }

    /**
     * Releases a claim, so that another copy of the request may be granted one. Call this only if
     * the request certainly did not run under the claim and will not.
     *
     * @param claim the claim
     * @return completes once the release is durable, or its row is found to violate an invariant;
     *     fails with {@code INVARIANT_VIOLATED} if the claim is not open
     */
    public CompletableFuture<Void> release(Claim claim) {
        return settle(claim, ClaimState.RELEASED, Optional.empty(), Optional.empty());
    }

    /**
     * Settles a claim whose request may have run, but whose answer is not known. No other copy of
     * the request is granted a claim.
     *
     * @param claim the claim
     * @return completes once the unknown outcome is durable, or its row is found to violate an
     *     invariant; fails with {@code INVARIANT_VIOLATED} if the claim is not open
     */
    public CompletableFuture<Void> abandon(Claim claim) {
        return settle(claim, ClaimState.UNKNOWN, Optional.empty(), Optional.empty());
    }

    private CompletableFuture<Void> settle(
            Claim claim,
            ClaimState state,
            Optional<StoredAnswer> storedAnswer,
            Optional<Answer> answer) {
        Optional<Entry> entry =
                table.settle(
                        claim,
                        state,
                        environment.clock().calendarMilliseconds(),
                        storedAnswer,
                        answer);
        if (entry.isEmpty()) {
            return rejectSecondSettlement(claim, state);
        }
        Settlement settlement =
                Settlement.ofGranted(
                        entry.get(), table.row(entry.get()), answer, table.version(entry.get()));
        settlementWriter.add(settlement);
        return settlement.done();
    }

    /** Reports an attempt to settle a claim that is not open, such as one already settled. */
    private CompletableFuture<Void> rejectSecondSettlement(Claim claim, ClaimState state) {
        environment.counters().add(Counter.INVARIANT_VIOLATIONS);
        environment
                .eventLog()
                .record(
                        LogEvent.named("claim_not_open")
                                .with("request", claim.key())
                                .with("claim", claim.token())
                                .with("state", state.label()));
        return CompletableFuture.failedFuture(
                new ResultException(
                        ResultCode.INVARIANT_VIOLATED, "the claim is not open: " + claim));
    }

    /**
     * Returns the number of claims that are not durably settled, including those not yet confirmed.
     * A planned stop of the host waits until it is zero.
     *
     * @return the number of unsettled claims of this host
     */
    public int unsettledClaims() {
        return table.size();
    }

    /** Builds a ledger. */
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
        private IntSupplier hostCount = () -> 1;

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
         * Sets the scheduler, which runs tasks after a delay.
         *
         * @param value the scheduler
         * @return this builder
         */
        public Builder scheduler(Scheduler value) {
            scheduler = value;
            return this;
        }

        /**
         * Sets the random number generator for tokens.
         *
         * @param value the generator, which need not be thread-safe but must not be shared
         * @return this builder
         */
        public Builder random(UniformRandomProvider value) {
            random = value;
            return this;
        }

        /**
         * Sets the event log.
         *
         * @param value the event log
         * @return this builder
         */
        public Builder eventLog(EventLog value) {
            eventLog = value;
            return this;
        }

        /**
         * Sets the counters.
         *
         * @param value the counters
         * @return this builder
         */
        public Builder counters(Counters value) {
            counters = value;
            return this;
        }

        /**
         * Sets the number of entry hosts, which share the transaction rate limit equally.
         *
         * @param value returns the present number of entry hosts
         * @return this builder
         */
        public Builder hostCount(IntSupplier value) {
            hostCount = value;
            return this;
        }

        /**
         * Sets the entry host and its incarnation. The pair must be unique, since tokens contain
         * it.
         *
         * @param hostName the entry host's name
         * @param hostIncarnation an identifier that no earlier process of this host has used
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
