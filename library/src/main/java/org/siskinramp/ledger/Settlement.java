package org.siskinramp.ledger;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.ledger.ClaimTable.Entry;
import org.siskinramp.platform.Row;
import org.siskinramp.platform.RowKey;
import org.siskinramp.platform.Write;
import org.siskinramp.request.Answer;
import org.siskinramp.result.ResultException;

/**
 * The pending write of the final content of one claim row. An instance is used by one thread at a
 * time.
 */
final class Settlement {

    private static final long UNKNOWN_VERSION = -1;

    private final Entry entry;
    private final ClaimRow target;
    private final Optional<Answer> answer;
    private final boolean fencing;
    private final long lastExpectedVersion;
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private long version;
    private boolean answerStored;

    private Settlement(
            Entry entry, ClaimRow target, Optional<Answer> answer, boolean fencing, long version) {
        this.entry = entry;
        this.target = target;
        this.answer = answer;
        this.fencing = fencing;
        this.lastExpectedVersion = version;
        this.version = fencing ? UNKNOWN_VERSION : version;
    }

    /** Settles a granted claim, whose row has a known version. */
    static Settlement ofGranted(
            Entry entry, ClaimRow target, Optional<Answer> answer, long version) {
        return new Settlement(entry, target, answer, false, version);
    }

    /**
     * Fences a refused claim, whose write may be lost, may have taken effect or may do so later:
     * its row is written as released.
     */
    static Settlement ofPossiblyWritten(Entry entry, ClaimRow target, long lastExpectedVersion) {
        return new Settlement(entry, target, Optional.empty(), true, lastExpectedVersion);
    }

    Entry entry() {
        return entry;
    }

    RowKey rowKey() {
        return entry.rowKey();
    }

    ClaimRow target() {
        return target;
    }

    CompletableFuture<Void> done() {
        return done;
    }

    boolean isVersionUnknown() {
        return version == UNKNOWN_VERSION;
    }

    void markVersionUnknown() {
        version = UNKNOWN_VERSION;
    }

    Write write() {
        return new Write(rowKey(), Optional.of(ClaimRowCodec.write(target)), version);
    }

    /**
     * Stores a large answer in the object store, before the row refers to it.
     *
     * @return completes once the answer is durable
     */
    CompletableFuture<Void> storeAnswer(AnswerStore answerStore) {
        if (answerStored || answer.isEmpty() || target.answer().isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        return answerStore
                .store(target.answer().get(), answer.get())
                .thenRun(() -> answerStored = true);
    }

    /** The result of comparing a row that was read with the content to be written. */
    enum Reconciliation {
        /** The row must be written, on the condition that it has the version that was read. */
        TO_WRITE,
        /** The row has its final content, or the write to be fenced can no longer take effect. */
        SETTLED,
        /**
         * The row is missing, or has content that correct operation never leaves there; it is not
         * written.
         */
        VIOLATED
    }

    /** Compares the row with the target content, and records its version. */
    Reconciliation reconcile(Optional<Row> row) {
        if (row.isEmpty()) {
            version = Write.ABSENT;
            return fencing ? Reconciliation.TO_WRITE : Reconciliation.VIOLATED;
        }
        version = row.get().version();
        ClaimRow found;
        try {
            found = ClaimRowCodec.read(row.get().value());
        } catch (ResultException malformed) {
            return Reconciliation.VIOLATED;
        }
        if (found.token().equals(target.token())) {
            return reconcileOwnRow(found);
        }
        return reconcileForeignRow();
    }

    /**
     * Compares a row that has the token of another claim, which is correct only if this claim was
     * released before, or if its own write has not taken effect.
     */
    private Reconciliation reconcileForeignRow() {
        if (version > lastExpectedVersion && target.state() == ClaimState.RELEASED) {
            return Reconciliation.SETTLED;
        }
        return fencing ? Reconciliation.TO_WRITE : Reconciliation.VIOLATED;
    }

    private Reconciliation reconcileOwnRow(ClaimRow found) {
        if (found.state() == target.state()) {
            return Reconciliation.SETTLED;
        }
        return found.state() == ClaimState.CLAIMED
                ? Reconciliation.TO_WRITE
                : Reconciliation.VIOLATED;
    }
}
