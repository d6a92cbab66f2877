package org.siskinramp.ledger;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.platform.RowKey;
import org.siskinramp.request.Answer;
import org.siskinramp.request.Request;
import org.siskinramp.request.RequestKey;

/** Holds the claims of this host that are not yet settled durably. */
final class ClaimTable {

    private final Map<RequestKey, Entry> entries = new HashMap<>();
    private final int limit;

    ClaimTable(int limit) {
        this.limit = limit;
    }

    /** Says how far this host has come with a claim. */
    enum Phase {
        CLAIMING,
        GRANTED,
        SETTLING
    }

    /** Says what the refusal of a claim left to do. */
    enum Refusal {
        /** The claim had been decided before. */
        TOO_LATE,
        /** The claim was certainly not written. */
        DROPPED,
        /** The claim may be written, or be written later, and must be fenced. */
        TO_FENCE
    }

    /**
     * Describes the claim that a second request with the same key met.
     *
     * @param phase how far the claim has come
     * @param row the content that was or is being written
     * @param answer the answer, if the request has finished
     * @param deadlineMilliseconds the first request's deadline, in monotonic milliseconds
     */
    record Seen(Phase phase, ClaimRow row, Optional<Answer> answer, long deadlineMilliseconds) {}

    /** Holds one claim; its state is guarded by the table. */
    static final class Entry {

        private final Request request;
        private final RowKey rowKey;
        private final CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        private ClaimRow row;
        private Phase phase = Phase.CLAIMING;
        private Optional<Answer> answer = Optional.empty();
        private long version;
        private boolean sending;
        private boolean doubtful;

        Entry(Request request, ClaimRow row) {
            this.request = request;
            this.rowKey = ClaimRowCodec.rowKey(request.key());
            this.row = row;
        }

        Request request() {
            return request;
        }

        RowKey rowKey() {
            return rowKey;
        }

        CompletableFuture<ClaimResult> result() {
            return result;
        }
    }

    /** Counts the claims that are open or whose end is not durable. */
    synchronized int size() {
        return entries.size();
    }

    synchronized boolean isFull() {
        return entries.size() >= limit;
    }

    synchronized Optional<Seen> find(RequestKey key) {
        return Optional.ofNullable(entries.get(key))
                .map(
                        entry ->
                                new Seen(
                                        entry.phase,
                                        entry.row,
                                        entry.answer,
                                        entry.request.deadlineMilliseconds()));
    }

    /**
     * Adds a claim.
     *
     * @return false if the key is taken
     */
    synchronized boolean add(Entry entry) {
        return entries.putIfAbsent(entry.request.key(), entry) == null;
    }

    /**
     * Marks the undecided claims as being written.
     *
     * @return these claims
     */
    synchronized List<Entry> startSending(Collection<Entry> group) {
        List<Entry> undecided = new ArrayList<>();
        for (Entry entry : group) {
            if (entry.phase == Phase.CLAIMING && !entry.result.isDone()) {
                entry.sending = true;
                undecided.add(entry);
            }
        }
        return undecided;
    }

    synchronized void sentWithoutEffect(Collection<Entry> group) {
        group.forEach(entry -> entry.sending = false);
    }

    synchronized void sentInDoubt(Collection<Entry> group) {
        for (Entry entry : group) {
            entry.sending = false;
            entry.doubtful = true;
        }
    }

    synchronized ClaimRow row(Entry entry) {
        return entry.row;
    }

    /** Returns the version that the next write of the row needs, or that the row has. */
    synchronized long version(Entry entry) {
        return entry.version;
    }

    /** Notes that the row has a version; writes that expected a lower one can't take effect. */
    synchronized void expect(Entry entry, long version) {
        if (entry.phase == Phase.CLAIMING && version > entry.version) {
            entry.version = version;
            entry.doubtful = false;
        }
    }

    /**
     * Grants a claim that was committed.
     *
     * @return false if it had been refused before, and is being fenced
     */
    synchronized boolean grant(Entry entry, long version) {
        if (entry.phase != Phase.CLAIMING) {
            return false;
        }
        entry.phase = Phase.GRANTED;
        entry.version = version;
        return true;
    }

    /** Refuses a claim that is undecided. */
    synchronized Refusal refuse(Entry entry, long calendarMilliseconds) {
        if (entry.phase != Phase.CLAIMING || entries.get(entry.request.key()) != entry) {
            return Refusal.TOO_LATE;
        }
        if (entry.sending || entry.doubtful) {
            startSettling(entry, ClaimState.RELEASED, calendarMilliseconds, Optional.empty());
            return Refusal.TO_FENCE;
        }
        entries.remove(entry.request.key());
        return Refusal.DROPPED;
    }

    /**
     * Starts to settle a granted claim.
     *
     * @return the claim, or empty if it is not open
     */
    synchronized Optional<Entry> settle(
            Claim claim,
            ClaimState state,
            long calendarMilliseconds,
            Optional<KeptAnswer> kept,
            Optional<Answer> answer) {
        Entry entry = entries.get(claim.key());
        if (entry == null
                || entry.phase != Phase.GRANTED
                || !entry.row.token().equals(claim.token())) {
            return Optional.empty();
        }
        startSettling(entry, state, calendarMilliseconds, kept);
        entry.answer = answer;
        return Optional.of(entry);
    }

    private void startSettling(
            Entry entry, ClaimState state, long calendarMilliseconds, Optional<KeptAnswer> kept) {
        entry.phase = Phase.SETTLING;
        entry.row = entry.row.settled(state, calendarMilliseconds, kept);
    }

    synchronized void remove(Entry entry) {
        entries.remove(entry.request.key(), entry);
    }
}
