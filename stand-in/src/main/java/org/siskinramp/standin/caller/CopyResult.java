package org.siskinramp.standin.caller;

import org.eclipse.jetty.client.ContentResponse;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.standin.http.Json;
import org.siskinramp.standin.server.AnswerBody;

/**
 * The result of one copy of a request.
 *
 * @param outcome the outcome
 * @param inProgress whether another copy is still in progress, so that this one is worth sending
 *     again
 * @param crossed whether the answer belongs to another request
 * @param retryAfterMilliseconds the delay before this copy is sent again, in milliseconds
 * @param content the answer's body, empty if there is none
 */
record CopyResult(
        Outcome outcome,
        boolean inProgress,
        boolean crossed,
        long retryAfterMilliseconds,
        String content) {

    private static final long MINIMUM_RETRY_MILLISECONDS = 100;
    private static final long MILLISECONDS_PER_SECOND = 1000;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;
    private static final int FIRST_NON_SUCCESS_STATUS = 300;

    static CopyResult noAnswer() {
        return new CopyResult(Outcome.UNKNOWN, false, false, 0, "");
    }

    static CopyResult of(PlannedRequest request, ContentResponse response) {
        int code = codeOf(response);
        if (code == ResultCode.IN_PROGRESS.number()) {
            return new CopyResult(Outcome.NOT_RUN, true, false, retryAfter(response), "");
        }
        if (response.getHeaders().contains("Not-Run")) {
            return finalResult(Outcome.NOT_RUN);
        }
        if (code == ResultCode.OUTCOME_UNKNOWN.number()) {
            return finalResult(Outcome.UNKNOWN);
        }
        if (response.getStatus() >= FIRST_NON_SUCCESS_STATUS) {
            return finalResult(
                    response.getStatus() >= FIRST_SERVER_ERROR_STATUS
                                    && !request.kind().isIdempotent()
                            ? Outcome.UNKNOWN
                            : Outcome.FAILED);
        }
        boolean matching = matches(request, response.getContent());
        return new CopyResult(Outcome.ANSWERED, false, !matching, 0, response.getContentAsString());
    }

    private static CopyResult finalResult(Outcome outcome) {
        return new CopyResult(outcome, false, false, 0, "");
    }

    private static int codeOf(ContentResponse response) {
        return parseNumber(response.getHeaders().get("Result-Code"));
    }

    private static long retryAfter(ContentResponse response) {
        long milliseconds =
                parseNumber(response.getHeaders().get("Retry-After")) * MILLISECONDS_PER_SECOND;
        return Math.max(MINIMUM_RETRY_MILLISECONDS, milliseconds);
    }

    private static int parseNumber(String text) {
        try {
            return text == null ? 0 : Integer.parseInt(text);
        } catch (NumberFormatException failure) {
            return 0;
        }
    }

    private static boolean matches(PlannedRequest request, byte[] content) {
        try {
            return Json.read(content, AnswerBody.class)
                    .matches(request.key().caller(), request.key().requestId(), request.content());
        } catch (ResultException failure) {
            return false;
        }
    }
}
