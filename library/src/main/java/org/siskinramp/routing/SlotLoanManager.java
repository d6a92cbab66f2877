package org.siskinramp.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.siskinramp.log.Counter;
import org.siskinramp.log.LogEvent;
import org.siskinramp.peer.LoanAsk;
import org.siskinramp.peer.LoanGrant;
import org.siskinramp.peer.LoanReturn;
import org.siskinramp.peer.LoanReturn.ReturnedLoan;
import org.siskinramp.slot.SlotKey;

/**
 * Borrows slots from other hosts for requests that wait, returns borrowed slots, and lends idle
 * slots to other hosts. It is guarded by the lock of the service.
 */
final class SlotLoanManager {

    private static final long LOAN_REQUEST_RETENTION_MILLISECONDS = 2_000;

    private final ServiceRoutingState state;
    private final MessageRateLimiter rateLimiter;
    private final Runnable queueCheck;
    private final Map<String, Integer> lendableSlotsByHost = new TreeMap<>();
    private final Map<Long, PendingLoanRequest> pendingLoanRequests = new LinkedHashMap<>();
    private final Map<Long, Slot> lentSlots = new HashMap<>();
    private long nextLoanRequestNumber = 1;
    private long nextLoanNumber = 1;
    private long nextLoanRequestAt = Long.MIN_VALUE;
    private long waitingSince = Long.MAX_VALUE;

    SlotLoanManager(
            ServiceRoutingState state, MessageRateLimiter rateLimiter, Runnable queueCheck) {
        this.state = state;
        this.rateLimiter = rateLimiter;
        this.queueCheck = queueCheck;
    }

    /**
     * Records how many slots another host could lend.
     *
     * @param host the other host
     * @param slots the number of its lendable slots
     */
    void updateLendableSlots(String host, int slots) {
        if (slots > 0) {
            lendableSlotsByHost.put(host, slots);
        } else {
            lendableSlotsByHost.remove(host);
        }
    }

    /**
     * Counts the slots that this host could lend.
     *
     * @return the number of its own slots that are idle and usable, 0 while requests wait
     */
    int countLendableSlots() {
        return state.queue().size() > 0 ? 0 : lendableSlots(state.now()).size();
    }

    private List<Slot> lendableSlots(long now) {
        return state.usableSlots(now).stream().filter(slot -> !slot.isBorrowed()).toList();
    }

    /**
     * Asks another host for a loan if requests have waited longer than the configured delay.
     *
     * @param deferred collects the actions to run after the lock is released
     */
    void requestLoanIfNeeded(DeferredActions deferred) {
        long now = state.now();
        if (state.queue().size() == 0) {
            waitingSince = Long.MAX_VALUE;
            return;
        }
        waitingSince = Math.min(waitingSince, now);
        boolean tooEarly = now - waitingSince < state.options().loanAskDelayMilliseconds();
        if (tooEarly || now < nextLoanRequestAt || !state.options().areSlotsOwned()) {
            return;
        }
        Optional<String> lender = chooseLender();
        if (lender.isEmpty() || !rateLimiter.tryAcquire()) {
            return;
        }
        removeExpiredLoanRequests(now);
        nextLoanRequestAt = now + state.options().loanAskTimeoutMilliseconds();
        int slots = Math.min(state.queue().size(), state.options().slotsPerAsk());
        long number = nextLoanRequestNumber++;
        pendingLoanRequests.put(number, new PendingLoanRequest(lender.get(), now));
        LoanAsk request =
                new LoanAsk(
                        number,
                        state.service().name(),
                        slots,
                        state.environment().availabilityZone());
        state.environment().counters().add(Counter.LOAN_ASKS);
        deferred.add(
                () -> {
                    state.environment().peerSender().send(lender.get(), request);
                    state.environment()
                            .scheduler()
                            .schedule(state.options().loanAskTimeoutMilliseconds(), queueCheck);
                });
    }

    private Optional<String> chooseLender() {
        if (lendableSlotsByHost.isEmpty()) {
            return Optional.empty();
        }
        List<String> hosts = new ArrayList<>(lendableSlotsByHost.keySet());
        String first = hosts.get(state.environment().random().nextInt(hosts.size()));
        String second = hosts.get(state.environment().random().nextInt(hosts.size()));
        return Optional.of(
                lendableSlotsByHost.get(second) > lendableSlotsByHost.get(first) ? second : first);
    }

    private void removeExpiredLoanRequests(long now) {
        pendingLoanRequests
                .values()
                .removeIf(request -> now - request.sentAt > LOAN_REQUEST_RETENTION_MILLISECONDS);
    }

    /**
     * Lends idle slots to another host, or answers that there are none.
     *
     * @param borrower the asking host
     * @param request the loan request
     * @param deferred collects the actions to run after the lock is released
     */
    void lend(String borrower, LoanAsk request, DeferredActions deferred) {
        expireLoans();
        long now = state.now();
        long term =
                Math.min(
                        state.options().loanTermMilliseconds(),
                        state.environment().slotAuthority().authorityUntilMilliseconds() - now);
        List<Slot> lendable =
                state.queue().size() > 0 || term <= 0 ? List.of() : lendableSlots(now);
        List<LoanGrant.Loan> loans = new ArrayList<>();
        for (Slot slot : lendable.subList(0, Math.min(request.slots(), lendable.size()))) {
            loans.add(lend(borrower, slot, now, term));
        }
        if (loans.isEmpty() && !rateLimiter.tryAcquire()) {
            return;
        }
        LoanGrant grant =
                new LoanGrant(
                        request.loanRequestNumber(),
                        request.service(),
                        loans,
                        lendable.size() - loans.size());
        state.environment().counters().add(Counter.LOANS_GRANTED, loans.size());
        deferred.add(() -> state.environment().peerSender().send(borrower, grant));
    }

    private LoanGrant.Loan lend(String borrower, Slot slot, long now, long term) {
        long number = nextLoanNumber++;
        long busyUntil =
                now
                        + term
                        + state.service().timeLimitMilliseconds()
                        + state.options().loanMarginMilliseconds();
        ServerState server = state.servers().get(slot.key().backendServer());
        String bootIdentity = server.warmUp().bootIdentity();
        slot.lend(borrower, bootIdentity, busyUntil);
        lentSlots.put(number, slot);
        logLoan("loan_granted", slot.key(), borrower);
        return new LoanGrant.Loan(
                number, slot.key().backendServer(), slot.key().index(), term, bootIdentity);
    }

    private void logLoan(String event, SlotKey slot, String host) {
        state.environment()
                .eventLog()
                .record(
                        LogEvent.named(event)
                                .with("service", state.service().name())
                                .with("backend_server", slot.backendServer())
                                .with("slot", slot.index())
                                .with("peer", host));
    }

    /**
     * Accepts lent slots. Loans that have already expired or that this host cannot use are
     * returned.
     *
     * @param lender the lending host
     * @param grant the loans
     * @param deferred collects the actions to run after the lock is released
     */
    void borrow(String lender, LoanGrant grant, DeferredActions deferred) {
        long now = state.now();
        nextLoanRequestAt = now;
        updateLendableSlots(lender, grant.remainingLendableSlots());
        PendingLoanRequest request = pendingLoanRequests.remove(grant.loanRequestNumber());
        List<ReturnedLoan> unusable = new ArrayList<>();
        for (LoanGrant.Loan loan : grant.loans()) {
            if (state.slots().isBorrowed(lender, loan.loanNumber())) {
                continue;
            }
            boolean requestMatches = request != null && request.lender.equals(lender);
            long usableUntil = requestMatches ? request.sentAt + loan.termMilliseconds() : now;
            SlotKey key = new SlotKey(loan.backendServer(), loan.index());
            Slot slot =
                    Slot.borrowed(key, lender, loan.loanNumber(), usableUntil, loan.bootIdentity());
            if (now >= usableUntil || !state.slots().addBorrowed(slot)) {
                unusable.add(new ReturnedLoan(loan.loanNumber(), 0));
            }
        }
        returnLoans(lender, unusable, deferred);
    }

    /**
     * Returns the borrowed slots that are idle.
     *
     * @param deferred collects the actions to run after the lock is released
     */
    void returnIdleSlots(DeferredActions deferred) {
        Map<String, List<ReturnedLoan>> byLender = new TreeMap<>();
        for (Slot slot : state.slots().removeIdleBorrowed(state.now())) {
            byLender.computeIfAbsent(slot.lender(), host -> new ArrayList<>())
                    .add(new ReturnedLoan(slot.loanNumber(), slot.answers()));
        }
        byLender.forEach((lender, loans) -> returnLoans(lender, loans, deferred));
    }

    private void returnLoans(String lender, List<ReturnedLoan> loans, DeferredActions deferred) {
        if (!loans.isEmpty()) {
            LoanReturn message = new LoanReturn(state.service().name(), loans);
            deferred.add(() -> state.environment().peerSender().send(lender, message));
        }
    }

    /**
     * Takes back the slots that a borrower returns.
     *
     * @param borrower the host that returns them
     * @param message the loans that end
     */
    void acceptReturn(String borrower, LoanReturn message) {
        for (ReturnedLoan loan : message.loans()) {
            Slot slot = lentSlots.get(loan.loanNumber());
            if (slot != null && borrower.equals(slot.borrower())) {
                lentSlots.remove(loan.loanNumber());
                slot.end();
                recordBorrowerAnswers(slot, loan.successfulAnswers());
            }
        }
    }

    private void recordBorrowerAnswers(Slot slot, int answers) {
        ServerState server = state.servers().get(slot.key().backendServer());
        if (server != null && server.warmUp().bootIdentity().equals(slot.lentBootIdentity())) {
            server.warmUp().recordBorrowerAnswers(answers, state.now());
        }
    }

    /** Takes back the slots whose loan has expired without being returned. */
    void expireLoans() {
        long now = state.now();
        lentSlots.values().removeIf(slot -> slot.use() != Slot.Use.LENT || slot.isIdle(now));
        state.slots().own().forEach(slot -> slot.expireUse(now));
    }

    private record PendingLoanRequest(String lender, long sentAt) {}
}
