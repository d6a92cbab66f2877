package org.siskinramp.ledger;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.platform.Platform;
import org.siskinramp.request.Answer;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Keeps answers for replay: small ones in the claim's row, large ones as objects. */
final class AnswerStore {

    private static final String OBJECT_PREFIX = "answers/";

    private final Platform platform;
    private final int rowBytes;

    AnswerStore(Platform platform, int rowBytes) {
        this.platform = platform;
        this.rowBytes = rowBytes;
    }

    KeptAnswer describe(Answer answer, String token) {
        byte[] body = answer.body();
        boolean inRow = body.length <= rowBytes;
        return new KeptAnswer(
                answer.status(),
                answer.headers(),
                body.length,
                inRow ? Optional.of(body) : Optional.empty(),
                inRow ? Optional.empty() : Optional.of(OBJECT_PREFIX + token));
    }

    /**
     * Stores the body if it does not fit the row.
     *
     * @return completes once it is durable
     */
    CompletableFuture<Void> store(KeptAnswer kept, Answer answer) {
        return kept.object()
                .map(name -> platform.putObject(name, answer.body()))
                .orElseGet(() -> CompletableFuture.completedFuture(null));
    }

    /**
     * Reads a kept answer.
     *
     * @return the answer, marked as replayed; fails with {@code OUTCOME_UNKNOWN} if the request ran
     *     but its answer cannot be read now
     */
    CompletableFuture<Answer> load(ClaimRow row) {
        if (row.answer().isEmpty()) {
            return CompletableFuture.failedFuture(unreadable(row));
        }
        KeptAnswer kept = row.answer().get();
        if (kept.body().isPresent()) {
            return CompletableFuture.completedFuture(answer(kept, kept.body().get()));
        }
        return platform.getObject(kept.object().orElse(""))
                .handle(
                        (body, failure) -> {
                            if (failure != null
                                    || body.isEmpty()
                                    || body.get().length != kept.length()) {
                                throw unreadable(row);
                            }
                            return answer(kept, body.get());
                        });
    }

    private static Answer answer(KeptAnswer kept, byte[] body) {
        return new Answer(ResultCode.REPLAYED, kept.status(), kept.headers(), body);
    }

    private static ResultException unreadable(ClaimRow row) {
        return new ResultException(
                ResultCode.OUTCOME_UNKNOWN,
                "it ran once, but its answer cannot be read now; claim=" + row.token(),
                ClaimRefusals.RETRY_MILLISECONDS);
    }
}
