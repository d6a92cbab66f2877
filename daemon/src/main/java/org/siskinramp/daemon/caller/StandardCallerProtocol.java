package org.siskinramp.daemon.caller;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.siskinramp.request.Answer;
import org.siskinramp.request.CallerConnection;
import org.siskinramp.result.ResultException;

/** The standard protocol of callers, with headers such as {@code Request-Id}. */
final class StandardCallerProtocol implements CallerProtocol {

    private static final String RESULT_CODE = "Result-Code";
    private static final String NOT_RUN = "Not-Run";
    private static final String NO_COPY_RAN = "request";
    private static final String THIS_COPY_DID_NOT_RUN = "copy";
    private static final String RETRY_AFTER_MILLISECONDS = "Retry-After-Milliseconds";

    private final RequestHeadReader reader;
    private final RequestHandler handler;

    StandardCallerProtocol(RequestHeadReader reader, RequestHandler handler) {
        this.reader = reader;
        this.handler = handler;
    }

    @Override
    public AcceptedRequest read(CallerRequest request) {
        return new StandardRequest(reader.read(request), handler);
    }

    @Override
    public String requestIdOf(Request request) {
        return request.getHeaders().get(RequestHeadReader.REQUEST_ID);
    }

    @Override
    public void addHeaders(Answer answer, String requestId, HttpFields.Mutable headers) {
        headers.put(RESULT_CODE, Integer.toString(answer.code().number()));
        headers.put(RequestHeadReader.REQUEST_ID, requestId);
    }

    @Override
    public void addHeaders(ResultException refusal, String requestId, HttpFields.Mutable headers) {
        headers.put(RESULT_CODE, Integer.toString(refusal.code().number()));
        if (requestId != null) {
            headers.put(RequestHeadReader.REQUEST_ID, requestId);
        }
        if (refusal.code().isNotRun()) {
            headers.put(NOT_RUN, refusal.isNotRunInAnyCopy() ? NO_COPY_RAN : THIS_COPY_DID_NOT_RUN);
        }
        refusal.retryAfterMilliseconds()
                .ifPresent(milliseconds -> putRetryAfter(headers, milliseconds));
    }

    private static void putRetryAfter(HttpFields.Mutable headers, long milliseconds) {
        long millisecondsPerSecond = TimeUnit.SECONDS.toMillis(1);
        long seconds =
                Math.max(1, (milliseconds + millisecondsPerSecond - 1) / millisecondsPerSecond);
        headers.put(HttpHeader.RETRY_AFTER, Long.toString(seconds));
        headers.put(RETRY_AFTER_MILLISECONDS, Long.toString(milliseconds));
    }

    @Override
    public int statusOf(ResultException refusal) {
        return refusal.code().httpStatus();
    }

    private record StandardRequest(RequestHead head, RequestHandler handler)
            implements AcceptedRequest {

        @Override
        public String requestId() {
            return head.key().requestId();
        }

        @Override
        public long deadlineMilliseconds() {
            return head.deadlineMilliseconds();
        }

        @Override
        public boolean mayStartEarly() {
            return head.kind().idempotent();
        }

        @Override
        public CompletableFuture<Answer> process(byte[] body, CallerConnection connection) {
            return handler.handle(head.withBody(body));
        }
    }
}
