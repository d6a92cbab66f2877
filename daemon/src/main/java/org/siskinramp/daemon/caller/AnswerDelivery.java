package org.siskinramp.daemon.caller;

import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.siskinramp.log.Counter;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.request.Answer;
import org.siskinramp.result.Futures;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;

/** Writes the answer of a request in progress, unless its caller leaves before. */
final class AnswerDelivery {

    private final AnswerWriter writer;
    private final Clock clock;
    private final EventLog eventLog;
    private final Counters counters;

    AnswerDelivery(AnswerWriter writer, Clock clock, EventLog eventLog, Counters counters) {
        this.writer = writer;
        this.clock = clock;
        this.eventLog = eventLog;
        this.counters = counters;
    }

    static CloseDetectingEndPoint callerOf(Request request) {
        return (CloseDetectingEndPoint)
                request.getConnectionMetaData().getConnection().getEndPoint();
    }

    /** Ends the connection with this answer; nothing that was sent behind it runs any more. */
    static void closeAfterAnswer(Request request, Response response) {
        response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
        callerOf(request).lookAhead().close();
    }

    /** Closes the connection of a request whose caller has left; returns false if it has not. */
    boolean closeIfCallerLeft(AcceptedRequest accepted, Request request, Callback callback) {
        CloseDetectingEndPoint caller = callerOf(request);
        if (!caller.isClosedBeforeProcessing()) {
            return false;
        }
        counters.add(Counter.CALLERS_LEFT);
        EofException closed = new EofException("caller closed the connection");
        logIfUndelivered(accepted, "reading", clock.monotonicMilliseconds(), closed);
        caller.close();
        callback.failed(closed);
        return true;
    }

    /** Waits for the answer, which is cancelled if the caller leaves, and writes it. */
    void deliver(
            AcceptedRequest accepted,
            CompletableFuture<Answer> answered,
            Request request,
            Response response,
            Callback callback) {
        long readMilliseconds = clock.monotonicMilliseconds();
        CloseDetectingEndPoint caller = callerOf(request);
        Callback logging =
                Callback.from(
                        callback,
                        failure ->
                                logIfUndelivered(
                                        accepted,
                                        answered.isCancelled() ? "processing" : "answering",
                                        readMilliseconds,
                                        failure));
        caller.setCloseListener(
                () -> {
                    answered.cancel(false);
                    caller.lookAhead().close();
                });
        if (caller.isAtEndOfRequest()
                && !ParsedHead.closesConnection(
                        request.getConnectionMetaData().getHttpVersion(), request.getHeaders())) {
            caller.lookAhead().begin(accepted.mayStartEarly());
        }
        Futures.whenDone(
                answered,
                (answer, failure) -> {
                    caller.clearCloseListener();
                    caller.lookAhead().pause();
                    if (caller.hasDiscardedInput()) {
                        closeAfterAnswer(request, response);
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
}
