package org.siskinramp.standin.caller;

import org.eclipse.jetty.client.ContentResponse;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.standin.http.Json;
import org.siskinramp.standin.server.RunAnswer;

/**
 * Tells what became of one copy of a request.
 *
 * @param outcome the outcome
 * @param inProgress whether another copy is in progress, so that asking again makes sense
 * @param crossed whether the answer was made for another request
 * @param retryAfterMilliseconds when to ask again, in milliseconds
 * @param content the answer's body, empty if there is none
 */
record CopyResult(
        Outcome outcome,
        boolean inProgress,
        boolean crossed,
        long retryAfterMilliseconds,
        String content) {

    private static final long LEAST_RETRY_MILLISECONDS = 100;
    private static final long MILLISECONDS_PER_SECOND = 1000;
    private static final int FIRST_ERROR_STATUS = 500;
    private static final int FIRST_OTHER_STATUS = 300;

    static CopyResult lost() {
        return new CopyResult(Outcome.UNKNOWN, false, false, 0, "");
    }

    static CopyResult of(PlannedRequest request, ContentResponse response) {
        int code = codeOf(response);
        if (code == ResultCode.IN_PROGRESS.number()) {
            return new CopyResult(Outcome.NOT_RUN, true, false, retryAfter(response), "");
        }
        if (response.getHeaders().contains("Not-Run")) {
            return ended(Outcome.NOT_RUN);
        }
        if (code == ResultCode.OUTCOME_UNKNOWN.number()) {
            return ended(Outcome.UNKNOWN);
        }
        if (response.getStatus() >= FIRST_OTHER_STATUS) {
            return ended(
                    response.getStatus() >= FIRST_ERROR_STATUS && !request.kind().isIdempotent()
                            ? Outcome.UNKNOWN
                            : Outcome.FAILED);
        }
        boolean own = isOwn(request, response.getContent());
        return new CopyResult(Outcome.ANSWERED, false, !own, 0, response.getContentAsString());
    }

    private static CopyResult ended(Outcome outcome) {
        return new CopyResult(outcome, false, false, 0, "");
    }

    private static int codeOf(ContentResponse response) {
        return number(response.getHeaders().get("Result-Code"));
    }

    private static long retryAfter(ContentResponse response) {
        long milliseconds =
                number(response.getHeaders().get("Retry-After")) * MILLISECONDS_PER_SECOND;
        return Math.max(LEAST_RETRY_MILLISECONDS, milliseconds);
    }

    private static int number(String text) {
        try {
            return text == null ? 0 : Integer.parseInt(text);
        } catch (NumberFormatException failure) {
            return 0;
        }
    }

    private static boolean isOwn(PlannedRequest request, byte[] content) {
        try {
            return Json.read(content, RunAnswer.class)
                    .answers(request.key().caller(), request.key().requestId(), request.content());
        } catch (ResultException failure) {
            return false;
        }
    }
}
