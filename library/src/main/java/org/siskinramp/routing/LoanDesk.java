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
 * Borrows slots for requests that wait, lends idle slots, and gives borrowed slots back. It is
 * guarded by the lock of the service.
 */
final class LoanDesk {

    private static final long ASK_MEMORY_MILLISECONDS = 2_000;

    private final ServiceState state;
    private final MessageBudget budget;
    private final Runnable queueDue;
    private final Map<String, Integer> sparesByHost = new TreeMap<>();
    private final Map<Long, Ask> asks = new LinkedHashMap<>();
    private final Map<Long, Slot> lent = new HashMap<>();
    private long nextAskNumber = 1;
    private long nextLoanNumber = 1;
    private long askOpenUntil = Long.MIN_VALUE;
    private long waitingSince = Long.MAX_VALUE;

    LoanDesk(ServiceState state, MessageBudget budget, Runnable queueDue) {
        this.state = state;
        this.budget = budget;
        this.queueDue = queueDue;
    }

    /**
     * Takes in how many slots a host could lend.
     *
     * @param host the other host
     * @param slots its idle slots; 0 if it has none
     */
    void hearSpare(String host, int slots) {
        if (slots > 0) {
            sparesByHost.put(host, slots);
        } else {
            sparesByHost.remove(host);
        }
    }

    /**
     * Counts the slots that this host could lend.
     *
     * @return the idle usable own slots, 0 while requests wait
     */
    int spare() {
        return state.queue().size() > 0 ? 0 : lendable(state.now()).size();
    }

    private List<Slot> lendable(long now) {
        return state.usableSlots(now).stream().filter(slot -> !slot.isBorrowed()).toList();
    }

    /**
     * Asks another host for slots if requests have waited for long enough.
     *
     * @param effects what happens outside the lock
     */
    void askIfNeeded(Effects effects) {
        long now = state.now();
        if (state.queue().size() == 0) {
            waitingSince = Long.MAX_VALUE;
            return;
        }
        waitingSince = Math.min(waitingSince, now);
        boolean early = now - waitingSince < state.options().loanPatienceMilliseconds();
        if (early || now < askOpenUntil || !state.options().areSlotsOwned()) {
            return;
        }
        Optional<String> lender = chooseLender();
        if (lender.isEmpty() || !budget.spend()) {
            return;
        }
        forgetOldAsks(now);
        askOpenUntil = now + state.options().loanAskTimeoutMilliseconds();
        int slots = Math.min(state.queue().size(), state.options().slotsPerAsk());
        long number = nextAskNumber++;
        asks.put(number, new Ask(lender.get(), now));
        LoanAsk ask =
                new LoanAsk(
                        number,
                        state.service().name(),
                        slots,
                        state.environment().availabilityZone());
        state.environment().counters().add(Counter.LOAN_ASKS);
        effects.add(
                () -> {
                    state.environment().peerSender().send(lender.get(), ask);
                    state.environment()
                            .scheduler()
                            .schedule(state.options().loanAskTimeoutMilliseconds(), queueDue);
                });
    }

    private Optional<String> chooseLender() {
        if (sparesByHost.isEmpty()) {
            return Optional.empty();
        }
        List<String> hosts = new ArrayList<>(sparesByHost.keySet());
        String first = hosts.get(state.environment().random().nextInt(hosts.size()));
        String second = hosts.get(state.environment().random().nextInt(hosts.size()));
        return Optional.of(sparesByHost.get(second) > sparesByHost.get(first) ? second : first);
    }

    private void forgetOldAsks(long now) {
        asks.values().removeIf(ask -> now - ask.sentAt > ASK_MEMORY_MILLISECONDS);
    }

    /**
     * Lends idle slots to another host, or tells it that there are none.
     *
     * @param borrower the asking host
     * @param ask what it asks for
     * @param effects what happens outside the lock
     */
    void lend(String borrower, LoanAsk ask, Effects effects) {
        settle();
        long now = state.now();
        long term =
                Math.min(
                        state.options().loanTermMilliseconds(),
                        state.environment().slotRights().authorityUntilMilliseconds() - now);
        List<Slot> lendable = state.queue().size() > 0 || term <= 0 ? List.of() : lendable(now);
        List<LoanGrant.Loan> loans = new ArrayList<>();
        for (Slot slot : lendable.subList(0, Math.min(ask.slots(), lendable.size()))) {
            loans.add(lend(borrower, slot, now, term));
        }
        if (loans.isEmpty() && !budget.spend()) {
            return;
        }
        LoanGrant grant =
                new LoanGrant(
                        ask.askNumber(), ask.service(), loans, lendable.size() - loans.size());
        state.environment().counters().add(Counter.LOANS_GRANTED, loans.size());
        effects.add(() -> state.environment().peerSender().send(borrower, grant));
    }

    private LoanGrant.Loan lend(String borrower, Slot slot, long now, long term) {
        long number = nextLoanNumber++;
        long busyUntil =
                now
                        + term
                        + state.service().timeLimitMilliseconds()
                        + state.options().slotMarginMilliseconds();
        ServerState server = state.servers().get(slot.key().backendServer());
        String boot = server.warmth().bootIdentity();
        slot.lend(borrower, boot, busyUntil);
        lent.put(number, slot);
        logLoan("loan_granted", slot.key(), borrower);
        return new LoanGrant.Loan(
                number, slot.key().backendServer(), slot.key().index(), term, boot);
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
     * Takes lent slots in.
     *
     * @param lender the lending host
     * @param grant the loans
     * @param effects what happens outside the lock
     */
    void borrow(String lender, LoanGrant grant, Effects effects) {
        long now = state.now();
        askOpenUntil = now;
        hearSpare(lender, grant.spare());
        Ask ask = asks.remove(grant.askNumber());
        List<ReturnedLoan> useless = new ArrayList<>();
        for (LoanGrant.Loan loan : grant.loans()) {
            if (state.slots().isBorrowed(lender, loan.loanNumber())) {
                continue;
            }
            boolean known = ask != null && ask.lender.equals(lender);
            long usableUntil = known ? ask.sentAt + loan.termMilliseconds() : now;
            SlotKey key = new SlotKey(loan.backendServer(), loan.index());
            Slot slot =
                    Slot.borrowed(key, lender, loan.loanNumber(), usableUntil, loan.bootIdentity());
            if (now >= usableUntil || !state.slots().borrow(slot)) {
                useless.add(new ReturnedLoan(loan.loanNumber(), 0));
            }
        }
        giveBack(lender, useless, effects);
    }

    /**
     * Gives back the borrowed slots that nobody waits for.
     *
     * @param effects what happens outside the lock
     */
    void giveBackIdle(Effects effects) {
        Map<String, List<ReturnedLoan>> byLender = new TreeMap<>();
        for (Slot slot : state.slots().removeIdleBorrowed(state.now())) {
            byLender.computeIfAbsent(slot.lender(), host -> new ArrayList<>())
                    .add(new ReturnedLoan(slot.loanNumber(), slot.answers()));
        }
        byLender.forEach((lender, loans) -> giveBack(lender, loans, effects));
    }

    private void giveBack(String lender, List<ReturnedLoan> loans, Effects effects) {
        if (!loans.isEmpty()) {
            LoanReturn message = new LoanReturn(state.service().name(), loans);
            effects.add(() -> state.environment().peerSender().send(lender, message));
        }
    }

    /**
     * Takes slots back.
     *
     * @param borrower the host that returns them
     * @param message the loans that end
     */
    void takeBack(String borrower, LoanReturn message) {
        for (ReturnedLoan loan : message.loans()) {
            Slot slot = lent.get(loan.loanNumber());
            if (slot != null && borrower.equals(slot.borrower())) {
                lent.remove(loan.loanNumber());
                slot.end();
                learn(slot, loan.answers());
            }
        }
    }

    private void learn(Slot slot, int answers) {
        ServerState server = state.servers().get(slot.key().backendServer());
        if (server != null && server.warmth().bootIdentity().equals(slot.lentBootIdentity())) {
            server.warmth().recordAnswersElsewhere(answers, state.now());
        }
    }

    /** Takes back the slots whose loan has run out without a return. */
    void settle() {
        long now = state.now();
        lent.values().removeIf(slot -> slot.use() != Slot.Use.LENT || slot.isIdle(now));
        state.slots().own().forEach(slot -> slot.settle(now));
    }

    private record Ask(String lender, long sentAt) {}
}
