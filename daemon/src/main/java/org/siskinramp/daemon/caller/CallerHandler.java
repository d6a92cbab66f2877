package org.siskinramp.daemon.caller;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.siskinramp.daemon.buffer.BodyBuffer;
import org.siskinramp.log.Counter;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.request.Answer;
import org.siskinramp.request.CallerConnection;
import org.siskinramp.result.Futures;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;

/** Reads each request completely, has it processed, and writes the answer or the refusal. */
final class CallerHandler extends Handler.Abstract {

    /** A new connection reaches another host as soon as the balancer knows of the shutdown. */
    private static final long RETRY_DELAY_WHEN_STOPPING_MILLISECONDS = 50;

    private final CallerProtocol protocol;
    private final AnswerWriter writer;
    private final Clock clock;
    private final CallerServerOptions options;
    private final EventLog eventLog;
    private final Counters counters;
    private final BodyMemoryBudget bodyMemoryBudget;
    private final InProgressRequests requestsInProgress = new InProgressRequests();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final AtomicBoolean keepAliveDisabled = new AtomicBoolean();
    private final AtomicLong latestDeadlineMilliseconds = new AtomicLong(Long.MAX_VALUE);

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
        this.bodyMemoryBudget = new BodyMemoryBudget(options.totalBodyLimitBytes());
    }

    InProgressRequests requestsInProgress() {
        return requestsInProgress;
    }

    BodyMemoryBudget bodyMemoryBudget() {
        return bodyMemoryBudget;
    }

    AnswerWriter writer() {
        return writer;
    }

    void refuseNewRequests() {
        stopping.set(true);
    }

    /** Closes each connection after its next answer, so that callers reconnect to other hosts. */
    void disableKeepAlive() {
        keepAliveDisabled.set(true);
    }

    /** Refuses requests that may still be in progress after a time. */
    void refuseRequestsBeyond(long milliseconds) {
        latestDeadlineMilliseconds.set(milliseconds);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (stopping.get() || keepAliveDisabled.get()) {
            closeAfterAnswer(response);
        }
        if (stopping.get()) {
            requestsInProgress.begin();
            refuse(
                    stopping("try another entry host"),
                    request,
                    response,
                    Callback.from(callback, requestsInProgress::end));
        } else if (!requestsInProgress.begin(options.concurrentRequestLimit())) {
            refuse(
                    new ResultException(
                            ResultCode.TOO_MANY_REQUESTS,
                            "limit=" + options.concurrentRequestLimit(),
                            BodyMemoryBudget.RETRY_DELAY_MILLISECONDS),
                    request,
                    response,
                    callback);
        } else {
            readAndAnswer(request, response, Callback.from(callback, requestsInProgress::end));
        }
        return true;
    }

    private void readAndAnswer(Request request, Response response, Callback callback) {
        AcceptedRequest accepted;
        BodyMemoryBudget.Reservation reservation;
        try {
            accepted = protocol.read(request);
            checkDeadline(accepted);
            checkLength(request);
            reservation = bodyMemoryBudget.reserve(request.getLength());
        } catch (ResultException refusal) {
            refuse(refusal, request, response, callback);
            return;
        }
        Callback releasing = Callback.from(callback, reservation::release);
        RequestBodyReader reader =
                new RequestBodyReader(
                        request, options, clock, new BodyBuffer(reservation, request.getLength()));
        request.addIdleTimeoutListener(timeout -> !reader.body().isDone());
        Futures.whenDone(
                reader.body(),
                (body, failure) -> {
                    if (failure == null) {
                        answer(accepted, body, request, response, releasing);
                    } else {
                        reservation.release();
                        refuse(ResultException.from(failure), request, response, callback);
                    }
                });
        reader.run();
    }

    /** A request that the shutdown would cut is refused, since another host can serve it. */
    private void checkDeadline(AcceptedRequest accepted) {
        if (accepted.deadlineMilliseconds() > latestDeadlineMilliseconds.get()) {
            throw stopping("the deadline lies beyond the end of the shutdown");
        }
    }

    private static ResultException stopping(String detail) {
        return new ResultException(
                ResultCode.STOPPING, detail, RETRY_DELAY_WHEN_STOPPING_MILLISECONDS);
    }

    private void checkLength(Request request) {
        if (request.getLength() > options.bodyLimitBytes()) {
            throw new ResultException(
                    ResultCode.BODY_TOO_LARGE, "limit_bytes=" + options.bodyLimitBytes());
        }
    }

    private void answer(
            AcceptedRequest accepted,
            byte[] body,
            Request request,
            Response response,
            Callback callback) {
        long readMilliseconds = clock.monotonicMilliseconds();
        CloseDetectingEndPoint caller = callerOf(request);
        if (caller.isClosedBeforeProcessing()) {
            counters.add(Counter.CALLERS_LEFT);
            EofException closed = new EofException("caller closed the connection");
            logIfUndelivered(accepted, "reading", readMilliseconds, closed);
            caller.close();
            callback.failed(closed);
            return;
        }
        CompletableFuture<Answer> answered =
                startProcessing(accepted, body, () -> !caller.isClosedByCaller());
        Callback logging =
                Callback.from(
                        callback,
                        failure ->
                                logIfUndelivered(
                                        accepted,
                                        answered.isCancelled() ? "processing" : "answering",
                                        readMilliseconds,
                                        failure));
        caller.setCloseListener(() -> answered.cancel(false));
        Futures.whenDone(
                answered,
                (answer, failure) -> {
                    caller.clearCloseListener();
                    if (caller.hasDiscardedInput()) {
                        closeAfterAnswer(response);
                    }
                    if (failure == null) {
                        writer.write(answer, accepted.requestId(), response, logging);
                    } else if (answered.isCancelled()) {
                        caller.close();
                        logging.failed(new EofException("caller closed the connection"));
                    } else {
                        ResultException result = ResultException.from(failure);
                        writer.write(result, accepted.requestId(), response, logging);
                    }
                });
    }

    private static CloseDetectingEndPoint callerOf(Request request) {
        return (CloseDetectingEndPoint)
                request.getConnectionMetaData().getConnection().getEndPoint();
    }

    private static void closeAfterAnswer(Response response) {
        response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
    }

    private CompletableFuture<Answer> startProcessing(
            AcceptedRequest accepted, byte[] body, CallerConnection connection) {
        try {
            return accepted.process(body, connection);
        } catch (RuntimeException | Error failure) {
            eventLog.record(
                    LogEvent.named("processing_failed")
                            .with("request", accepted.requestId())
                            .with("cause", failure));
            return CompletableFuture.failedFuture(failure);
        }
    }

    private void logIfUndelivered(
            AcceptedRequest accepted, String stage, long readMilliseconds, Throwable failure) {
        if (failure != null) {
            eventLog.record(
                    LogEvent.named("caller_gone")
                            .with("request", accepted.requestId())
                            .with("stage", stage)
                            .with("took_ms", clock.monotonicMilliseconds() - readMilliseconds)
                            .with("cause", failure));
        }
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
                        .with("reason", refusal.code())
                        .with("detail", refusal.getMessage()));
        Callback draining =
                Callback.from(
                        () -> new RequestBodyDrain(request, clock, callback).run(),
                        callback::failed);
        writer.write(refusal, requestId, response, draining);
    }
}
