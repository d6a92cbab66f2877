package org.siskinramp.daemon.caller;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
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
import org.siskinramp.result.Futures;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;

/** Reads each request completely, has it processed, and writes the answer or the refusal. */
final class CallerHandler extends Handler.Abstract {

    private final CallerProtocol protocol;
    private final AnswerWriter writer;
    private final Clock clock;
    private final CallerServerOptions options;
    private final EventLog eventLog;
    private final Counters counters;
    private final BodyMemoryBudget bodyMemoryBudget;
    private final RequestAdmission admission;
    private final RequestProcessor processor;
    private final AnswerDelivery delivery;
    private final LingeringConnections lingeringConnections = new LingeringConnections();

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
        this.admission = new RequestAdmission(options.concurrentRequestLimit());
        this.processor = new RequestProcessor(eventLog);
        this.delivery = new AnswerDelivery(writer, clock, eventLog, counters);
    }

    RequestAdmission admission() {
        return admission;
    }

    LingeringConnections lingeringConnections() {
        return lingeringConnections;
    }

    ConnectionParts connectionParts() {
        return new ConnectionParts(
                bodyMemoryBudget,
                new HeadParser(options.headerLimitBytes()),
                new EarlyStarter(protocol, admission, processor, counters, clock),
                lingeringConnections,
                clock);
    }

    AnswerWriter writer() {
        return writer;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        LookAhead lookAhead = AnswerDelivery.callerOf(request).lookAhead();
        Optional<EarlyRequest> early = lookAhead.take(request);
        if (admission.closesConnections() && !lookAhead.hasStarted()) {
            AnswerDelivery.closeAfterAnswer(request, response);
        }
        EarlyRequest.State state = early.map(EarlyRequest::state).orElse(EarlyRequest.State.PARSED);
        if (state == EarlyRequest.State.STARTED) {
            answerEarly(early.get(), request, response, callback);
        } else if (state == EarlyRequest.State.REFUSED) {
            refuseCounted(early.get().refusal(), request, response, callback);
        } else if (admission.isStopping()) {
            refuseCounted(
                    RequestAdmission.stopping("try another entry host"),
                    request,
                    response,
                    callback);
        } else {
            long arrivedMilliseconds =
                    early.map(parsed -> parsed.request().arrivedMilliseconds())
                            .orElseGet(clock::monotonicMilliseconds);
            begin(CallerRequest.of(request, arrivedMilliseconds), request, response, callback);
        }
        return true;
    }

    private void answerEarly(
            EarlyRequest early, Request request, Response response, Callback callback) {
        AcceptedRequest accepted = early.accepted();
        eventLog.record(
                LogEvent.named("started_early")
                        .with("request", accepted.requestId())
                        .with(
                                "ahead_ms",
                                clock.monotonicMilliseconds() - early.startedMilliseconds()));
        Callback releasing = Callback.from(callback, early::release);
        if (delivery.closeIfCallerLeft(accepted, request, releasing)) {
            early.cancel();
        } else {
            delivery.deliver(accepted, early.answer(), request, response, releasing);
        }
    }

    private void begin(CallerRequest head, Request request, Response response, Callback callback) {
        try {
            admission.begin();
        } catch (ResultException refusal) {
            refuse(refusal, request, response, callback);
            return;
        }
        readAndAnswer(head, request, response, ending(callback));
    }

    private Callback ending(Callback callback) {
        return Callback.from(callback, admission.requestsInProgress()::end);
    }

    /** Refuses a request, which counts as in progress until the refusal is written. */
    private void refuseCounted(
            ResultException refusal, Request request, Response response, Callback callback) {
        admission.requestsInProgress().begin();
        refuse(refusal, request, response, ending(callback));
    }

    private void readAndAnswer(
            CallerRequest head, Request request, Response response, Callback callback) {
        AcceptedRequest accepted;
        BodyMemoryBudget.Reservation reservation;
        try {
            accepted = protocol.read(head);
            admission.checkDeadline(accepted);
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
        if (delivery.closeIfCallerLeft(accepted, request, callback)) {
            return;
        }
        CloseDetectingEndPoint caller = AnswerDelivery.callerOf(request);
        CompletableFuture<Answer> answered =
                processor.start(accepted, body, () -> !caller.isClosedByCaller());
        delivery.deliver(accepted, answered, request, response, callback);
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
