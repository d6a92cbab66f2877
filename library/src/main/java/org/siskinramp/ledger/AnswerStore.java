package org.siskinramp.ledger;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.platform.Platform;
import org.siskinramp.request.Answer;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Stores answers for replay: small bodies in the claim row, large ones in the object store. */
final class AnswerStore {

    private static final String OBJECT_PREFIX = "answers/";

    private final Platform platform;
    private final int maximumRowAnswerBytes;

    AnswerStore(Platform platform, int maximumRowAnswerBytes) {
        this.platform = platform;
        this.maximumRowAnswerBytes = maximumRowAnswerBytes;
    }

    /** Describes an answer as it is stored; a large body gets an object named after the token. */
    StoredAnswer toStoredAnswer(Answer answer, String token) {
        byte[] body = answer.body();
        boolean inRow = body.length <= maximumRowAnswerBytes;
        return new StoredAnswer(
                answer.status(),
                answer.headers(),
                body.length,
                inRow ? Optional.of(body) : Optional.empty(),
                inRow ? Optional.empty() : Optional.of(OBJECT_PREFIX + token));
    }

    /**
     * Writes the body to the object store, unless the claim row holds it.
     *
     * @return completes once the body is durable; at once if the row holds it
     */
    CompletableFuture<Void> store(StoredAnswer storedAnswer, Answer answer) {
        return storedAnswer
                .object()
                .map(name -> platform.putObject(name, answer.body()))
                .orElseGet(() -> CompletableFuture.completedFuture(null));
    }

    /**
     * Loads the stored answer of a finished claim.
     *
     * @return the answer, marked as replayed; fails with {@code OUTCOME_UNKNOWN} if the request ran
     *     but its answer cannot be read now
     */
    CompletableFuture<Answer> load(ClaimRow row) {
        if (row.answer().isEmpty()) {
            return CompletableFuture.failedFuture(unreadable(row));
        }
        StoredAnswer storedAnswer = row.answer().get();
        if (storedAnswer.body().isPresent()) {
            return CompletableFuture.completedFuture(
                    answer(storedAnswer, storedAnswer.body().get()));
        }
        return platform.getObject(storedAnswer.object().orElse(""))
                .handle(
                        (body, failure) -> {
                            if (failure != null
                                    || body.isEmpty()
                                    || body.get().length != storedAnswer.length()) {
                                throw unreadable(row);
                            }
                            return answer(storedAnswer, body.get());
                        });
    }

    private static Answer answer(StoredAnswer storedAnswer, byte[] body) {
        return new Answer(ResultCode.REPLAYED, storedAnswer.status(), storedAnswer.headers(), body);
    }

    private static ResultException unreadable(ClaimRow row) {
        return new ResultException(
                ResultCode.OUTCOME_UNKNOWN,
                "it ran once, but its answer cannot be read now; claim=" + row.token(),
                ClaimRefusals.RETRY_AFTER_MILLISECONDS);
    }
}
