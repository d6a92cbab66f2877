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

/** Holds the claims of this host until they are durably settled. */
final class ClaimTable {

    private final Map<RequestKey, Entry> entries = new HashMap<>();
    private final int limit;

    ClaimTable(int limit) {
        this.limit = limit;
    }

    /** The phase of a claim on this host: being claimed, granted, or being settled. */
    enum Phase {
        CLAIMING,
        GRANTED,
        SETTLING
    }

    /** The result of refusing a claim, which tells what remains to be done. */
    enum RefusalResult {
        /** The claim was granted or refused before. */
        TOO_LATE,
        /** The row was certainly not written, so that the claim was dropped. */
        DROPPED,
        /** The row may have been written, or may still be, so that the claim must be fenced. */
        TO_FENCE
    }

    /**
     * Describes the claim of this host that already exists for a key.
     *
     * @param phase the phase of the claim
     * @param row the content of the row that was, is being or will be written
     * @param answer the answer, if the request has finished
     * @param deadlineMilliseconds the deadline of the claimed request, in monotonic milliseconds
     */
    record ExistingClaim(
            Phase phase, ClaimRow row, Optional<Answer> answer, long deadlineMilliseconds) {}

    /** A claim in this table. Its mutable fields are guarded by the lock of the table. */
    static final class Entry {

        private final Request request;
        private final RowKey rowKey;
        private final CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        private ClaimRow row;
        private Phase phase = Phase.CLAIMING;
        private Optional<Answer> answer = Optional.empty();
        private long version;
        private boolean writeInProgress;
        private boolean possiblyWritten;

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

    /** Returns the number of claims that are not durably settled. */
    synchronized int size() {
        return entries.size();
    }

    synchronized boolean isFull() {
        return entries.size() >= limit;
    }

    synchronized Optional<ExistingClaim> find(RequestKey key) {
        return Optional.ofNullable(entries.get(key))
                .map(
                        entry ->
                                new ExistingClaim(
                                        entry.phase,
                                        entry.row,
                                        entry.answer,
                                        entry.request.deadlineMilliseconds()));
    }

    /**
     * Adds a claim.
     *
     * @return false if the table holds another claim with the same key
     */
    synchronized boolean add(Entry entry) {
        return entries.putIfAbsent(entry.request.key(), entry) == null;
    }

    /**
     * Marks those claims of a group that are neither granted nor refused as being written.
     *
     * @return the marked claims
     */
    synchronized List<Entry> startWriting(Collection<Entry> group) {
        List<Entry> undecided = new ArrayList<>();
        for (Entry entry : group) {
            if (entry.phase == Phase.CLAIMING && !entry.result.isDone()) {
                entry.writeInProgress = true;
                undecided.add(entry);
            }
        }
        return undecided;
    }

    /** Records that the last write of these claims had no effect. */
    synchronized void markNotWritten(Collection<Entry> group) {
        group.forEach(entry -> entry.writeInProgress = false);
    }

    /**
     * Records that the last write of these claims may have had an effect, or may have one later.
     */
    synchronized void markPossiblyWritten(Collection<Entry> group) {
        for (Entry entry : group) {
            entry.writeInProgress = false;
            entry.possiblyWritten = true;
        }
    }

    synchronized ClaimRow row(Entry entry) {
        return entry.row;
    }

    /** Returns the last known version of the row, which the next write expects; 0 if absent. */
    synchronized long version(Entry entry) {
        return entry.version;
    }

    /**
     * Records the version of the row that was read, if it is higher than the last known version.
     * Earlier writes of the claim expected a lower version, so that they can no longer take effect.
     */
    synchronized void recordRowVersion(Entry entry, long version) {
        if (entry.phase == Phase.CLAIMING && version > entry.version) {
            entry.version = version;
            entry.possiblyWritten = false;
        }
    }

    /**
     * Grants a claim whose row was committed.
     *
     * @return false if the claim was refused before, and is being fenced
     */
    synchronized boolean grant(Entry entry, long version) {
        if (entry.phase != Phase.CLAIMING) {
            return false;
        }
        entry.phase = Phase.GRANTED;
        entry.version = version;
        return true;
    }

    /** Refuses a claim that is neither granted nor refused. */
    synchronized RefusalResult refuse(Entry entry, long calendarMilliseconds) {
        if (entry.phase != Phase.CLAIMING || entries.get(entry.request.key()) != entry) {
            return RefusalResult.TOO_LATE;
        }
        if (entry.writeInProgress || entry.possiblyWritten) {
            startSettling(entry, ClaimState.RELEASED, calendarMilliseconds, Optional.empty());
            return RefusalResult.TO_FENCE;
        }
        entries.remove(entry.request.key());
        return RefusalResult.DROPPED;
    }

    /**
     * Starts to settle a granted claim.
     *
     * @return the entry of the claim, or empty if the claim is not open
     */
    synchronized Optional<Entry> settle(
            Claim claim,
            ClaimState state,
            long calendarMilliseconds,
            Optional<StoredAnswer> storedAnswer,
            Optional<Answer> answer) {
        Entry entry = entries.get(claim.key());
        if (entry == null
                || entry.phase != Phase.GRANTED
                || !entry.row.token().equals(claim.token())) {
            return Optional.empty();
        }
        startSettling(entry, state, calendarMilliseconds, storedAnswer);
        entry.answer = answer;
        return Optional.of(entry);
    }

    private void startSettling(
            Entry entry,
            ClaimState state,
            long calendarMilliseconds,
            Optional<StoredAnswer> storedAnswer) {
        entry.phase = Phase.SETTLING;
        entry.row = entry.row.withState(state, calendarMilliseconds, storedAnswer);
    }

    synchronized void remove(Entry entry) {
        entries.remove(entry.request.key(), entry);
    }
}
