package org.siskinramp.daemon.caller;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.siskinramp.log.Counter;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.request.Answer;
import org.siskinramp.result.Futures;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;

/** Reads each request whole, has it handled, and writes the answer or the refusal. */
final class CallerHandler extends Handler.Abstract {

    private final RequestHandler handler;
    private final RequestHeadReader reader;
    private final Clock clock;
    private final CallerServerOptions options;
    private final EventLog eventLog;
    private final Counters counters;
    private final BodyMemory bodyMemory;
    private final OpenRequests openRequests = new OpenRequests();
    private final AtomicBoolean stopping = new AtomicBoolean();

    CallerHandler(
            RequestHandler handler,
            RequestHeadReader reader,
            Clock clock,
            CallerServerOptions options,
            EventLog eventLog,
            Counters counters) {
        this.handler = handler;
        this.reader = reader;
        this.clock = clock;
        this.options = options;
        this.eventLog = eventLog;
        this.counters = counters;
        this.bodyMemory = new BodyMemory(options.bodiesLimitBytes());
    }

    OpenRequests openRequests() {
        return openRequests;
    }

    void refuseNewRequests() {
        stopping.set(true);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (stopping.get()) {
            response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
            refuse(ResultCode.STOPPING, "try another entry host", request, response, callback);
        } else if (!openRequests.begin(options.requestLimit())) {
            refuse(
                    ResultCode.TOO_MANY_REQUESTS,
                    "limit=" + options.requestLimit(),
                    request,
                    response,
                    callback);
        } else {
            handleCounted(request, response, Callback.from(callback, openRequests::end));
        }
        return true;
    }

    private void handleCounted(Request request, Response response, Callback callback) {
        RequestHead head;
        BodyMemory.Share memory;
        try {
            head = reader.read(request);
            checkLength(request);
            memory = bodyMemory.open(request.getLength());
        } catch (ResultException refusal) {
            refuse(refusal, request, response, callback);
            return;
        }
        Callback released = Callback.from(callback, memory::release);
        BodyRead read = new BodyRead(request, options, clock, memory);
        request.addIdleTimeoutListener(timeout -> !read.body().isDone());
        Futures.whenDone(
                read.body(),
                (body, failure) -> {
                    if (failure == null) {
                        answer(head, body, response, released);
                    } else {
                        refuse(ResultException.from(failure), request, response, released);
                    }
                });
        read.run();
    }

    private void checkLength(Request request) {
        if (request.getLength() > options.bodyLimitBytes()) {
            throw new ResultException(
                    ResultCode.BODY_TOO_LARGE, "limit_bytes=" + options.bodyLimitBytes());
        }
    }

    private void answer(RequestHead head, byte[] body, Response response, Callback callback) {
        Callback logged = Callback.from(callback, failure -> logIfLost(head, failure));
        var unused =
                handle(head, body)
                        .whenComplete(
                                (answer, failure) -> {
                                    String requestId = head.key().requestId();
                                    if (failure == null) {
                                        AnswerWriter.write(answer, requestId, response, logged);
                                    } else {
                                        ResultException result = ResultException.from(failure);
                                        AnswerWriter.write(result, requestId, response, logged);
                                    }
                                });
    }

    private CompletableFuture<Answer> handle(RequestHead head, byte[] body) {
        try {
            return handler.handle(head.withBody(body));
        } catch (RuntimeException failure) {
            return CompletableFuture.failedFuture(failure);
        }
    }

    private void logIfLost(RequestHead head, Throwable failure) {
        if (failure != null) {
            eventLog.record(
                    LogEvent.named("caller_gone")
                            .with("request", head.key())
                            .with("cause", failure));
        }
    }

    private void refuse(
            ResultCode code, String detail, Request request, Response response, Callback callback) {
        refuse(new ResultException(code, detail), request, response, callback);
    }

    private void refuse(
            ResultException refusal, Request request, Response response, Callback callback) {
        counters.add(Counter.REQUESTS);
        counters.add(Counter.REQUESTS_REFUSED);
        String requestId = request.getHeaders().get(RequestHeadReader.REQUEST_ID);
        eventLog.record(
                LogEvent.named("refuse")
                        .with("request", requestId)
                        .with("method", request.getMethod())
                        .with("path", request.getHttpURI().getPath())
                        .with("code", refusal.code().number())
                        .with("reason", refusal.code()));
        AnswerWriter.write(refusal, requestId, response, callback);
    }
}
