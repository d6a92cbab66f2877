package org.siskinramp.daemon.caller;

import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.siskinramp.request.Answer;
import org.siskinramp.result.ResultException;

/** Writes whole answers and refusals to callers. */
final class AnswerWriter {

    private static final String RESULT_CODE = "Result-Code";
    private static final String NOT_RUN = "Not-Run";
    private static final String NO_COPY_RAN = "request";
    private static final String THIS_COPY_DID_NOT_RUN = "copy";
    private static final String RETRY_AFTER_MILLISECONDS = "Retry-After-Milliseconds";

    private AnswerWriter() {}

    static void write(Answer answer, String requestId, Response response, Callback callback) {
        response.setStatus(answer.status());
        HttpFields.Mutable headers = response.getHeaders();
        answer.headers().forEach(header -> headers.add(header.name(), header.value()));
        headers.put(RESULT_CODE, Integer.toString(answer.code().number()));
        headers.put(RequestHeadReader.REQUEST_ID, requestId);
        response.write(true, ByteBuffer.wrap(answer.body()), callback);
    }

    /** Writes a refusal; the identifier may be null if the request named none. */
    static void write(
            ResultException refusal, String requestId, Response response, Callback callback) {
        response.setStatus(refusal.code().httpStatus());
        HttpFields.Mutable headers = response.getHeaders();
        headers.put(RESULT_CODE, Integer.toString(refusal.code().number()));
        headers.put(HttpHeader.CONTENT_TYPE, "application/json");
        if (requestId != null) {
            headers.put(RequestHeadReader.REQUEST_ID, requestId);
        }
        if (refusal.code().isNotRun()) {
            headers.put(NOT_RUN, refusal.isNotRunInAnyCopy() ? NO_COPY_RAN : THIS_COPY_DID_NOT_RUN);
        }
        refusal.retryAfterMilliseconds()
                .ifPresent(milliseconds -> putRetryAfter(headers, milliseconds));
        byte[] body = RefusalBody.of(refusal, requestId).toBytes();
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    private static void putRetryAfter(HttpFields.Mutable headers, long milliseconds) {
        long second = TimeUnit.SECONDS.toMillis(1);
        long seconds = Math.max(1, (milliseconds + second - 1) / second);
        headers.put(HttpHeader.RETRY_AFTER, Long.toString(seconds));
        headers.put(RETRY_AFTER_MILLISECONDS, Long.toString(milliseconds));
    }
}
