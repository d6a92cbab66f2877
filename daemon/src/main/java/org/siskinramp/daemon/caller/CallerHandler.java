package org.siskinramp.daemon.caller;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.EofException;
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

    private final CallerProtocol protocol;
    private final AnswerWriter writer;
    private final Clock clock;
    private final CallerServerOptions options;
    private final EventLog eventLog;
    private final Counters counters;
    private final BodyMemory bodyMemory;
    private final OpenRequests openRequests = new OpenRequests();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final AtomicBoolean closing = new AtomicBoolean();

    CallerHandler(
            CallerProtocol protocol,
            Clock clock,
            CallerServerOptions options,
            EventLog eventLog,
            Counters counters) {
        super(InvocationType.NON_BLOCKING);
        this.protocol = protocol;
        this.writer = new AnswerWriter(protocol);
        this.clock = clock;
        this.options = options;
        this.eventLog = eventLog;
        this.counters = counters;
        this.bodyMemory = new BodyMemory(options.bodiesLimitBytes());
    }

    OpenRequests openRequests() {
        return openRequests;
    }

    AnswerWriter writer() {
        return writer;
    }

    void refuseNewRequests() {
        stopping.set(true);
    }

    /** Ends each connection with its next answer, so that callers go to other hosts. */
    void closeConnections() {
        closing.set(true);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (stopping.get() || closing.get()) {
            response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
        }
        if (stopping.get()) {
            openRequests.begin();
            refuse(
                    ResultCode.STOPPING,
                    "try another entry host",
                    request,
                    response,
                    Callback.from(callback, openRequests::end));
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
        CallerCall call;
        BodyMemory.Share memory;
        try {
            call = protocol.read(request);
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
                        answer(call, body, request, response, released);
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

    private void answer(
            CallerCall call, byte[] body, Request request, Response response, Callback callback) {
        Callback logged = Callback.from(callback, failure -> logIfLost(call, failure));
        CompletableFuture<Answer> answered = run(call, body);
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        if (endPoint instanceof WatchedEndPoint watched) {
            watched.watch(() -> answered.cancel(false));
            Futures.whenDone(answered, (answer, failure) -> watched.unwatch());
        }
        Futures.whenDone(
                answered,
                (answer, failure) -> {
                    if (failure == null) {
                        writer.write(answer, call.requestId(), response, logged);
                    } else if (answered.isCancelled()) {
                        logged.failed(new EofException("the caller has left"));
                    } else {
                        ResultException result = ResultException.from(failure);
                        writer.write(result, call.requestId(), response, logged);
                    }
                });
    }

    private static CompletableFuture<Answer> run(CallerCall call, byte[] body) {
        try {
            return call.run(body);
        } catch (RuntimeException failure) {
            return CompletableFuture.failedFuture(failure);
        }
    }

    private void logIfLost(CallerCall call, Throwable failure) {
        if (failure != null) {
            eventLog.record(
                    LogEvent.named("caller_gone")
                            .with("request", call.requestId())
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
        String requestId = protocol.requestIdOf(request);
        eventLog.record(
                LogEvent.named("refuse")
                        .with("request", requestId)
                        .with("method", request.getMethod())
                        .with("path", request.getHttpURI().getPath())
                        .with("code", refusal.code().number())
                        .with("reason", refusal.code()));
        writer.write(refusal, requestId, response, callback);
    }
}
