package org.siskinramp.ledger;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.ledger.ClaimTable.Entry;
import org.siskinramp.platform.Row;
import org.siskinramp.platform.RowKey;
import org.siskinramp.platform.Write;
import org.siskinramp.request.Answer;
import org.siskinramp.result.ResultException;

/** Brings one claim row to its final content. It is used by one thread at a time. */
final class Settlement {

    private static final long UNREAD = -1;

    private final Entry entry;
    private final ClaimRow target;
    private final Optional<Answer> answer;
    private final boolean fence;
    private final long lastExpectedVersion;
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private long version;
    private boolean answerStored;

    private Settlement(
            Entry entry, ClaimRow target, Optional<Answer> answer, boolean fence, long version) {
        this.entry = entry;
        this.target = target;
        this.answer = answer;
        this.fence = fence;
        this.lastExpectedVersion = version;
        this.version = fence ? UNREAD : version;
    }

    /** Settles a granted claim whose row has a known version. */
    static Settlement ofGranted(
            Entry entry, ClaimRow target, Optional<Answer> answer, long version) {
        return new Settlement(entry, target, answer, false, version);
    }

    /** Releases a claim whose write may be lost, may have taken effect, or may do so later. */
    static Settlement ofDoubtful(Entry entry, ClaimRow target, long lastExpectedVersion) {
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

    boolean isUnread() {
        return version == UNREAD;
    }

    void forgetVersion() {
        version = UNREAD;
    }

    Write write() {
        return new Write(rowKey(), Optional.of(ClaimRowCodec.write(target)), version);
    }

    /**
     * Stores a large answer before the row refers to it.
     *
     * @return completes once it is durable
     */
    CompletableFuture<Void> storeAnswer(AnswerStore answers) {
        if (answerStored || answer.isEmpty() || target.answer().isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        return answers.store(target.answer().get(), answer.get())
                .thenRun(() -> answerStored = true);
    }

    /** Says what the row, as read, means for the settlement. */
    enum Reading {
        /** The row must be written at the version that was read. */
        TO_WRITE,
        /** The row has its final content, or the doubtful write can no longer take effect. */
        SETTLED,
        /** The row is not as any correct run leaves it. */
        VIOLATED
    }

    /** Compares the row with the target. */
    Reading reconcile(Optional<Row> row) {
        if (row.isEmpty()) {
            version = Write.ABSENT;
            return fence ? Reading.TO_WRITE : Reading.VIOLATED;
        }
        version = row.get().version();
        ClaimRow found;
        try {
            found = ClaimRowCodec.read(row.get().value());
        } catch (ResultException malformed) {
            return Reading.VIOLATED;
        }
        if (found.token().equals(target.token())) {
            return reconcileOwn(found);
        }
        return reconcileOther();
    }

    /** Another attempt may only hold the row after this one released it or never had it. */
    private Reading reconcileOther() {
        if (version > lastExpectedVersion && target.state() == ClaimState.RELEASED) {
            return Reading.SETTLED;
        }
        return fence ? Reading.TO_WRITE : Reading.VIOLATED;
    }

    private Reading reconcileOwn(ClaimRow found) {
        if (found.state() == target.state()) {
            return Reading.SETTLED;
        }
        return found.state() == ClaimState.CLAIMED ? Reading.TO_WRITE : Reading.VIOLATED;
    }
}
