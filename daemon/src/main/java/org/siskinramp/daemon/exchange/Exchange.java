package org.siskinramp.daemon.exchange;

import java.io.ByteArrayOutputStream;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.siskinramp.attempt.AttemptException;
import org.siskinramp.attempt.AttemptFailure;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.request.Header;
import org.siskinramp.result.Futures;
import org.siskinramp.time.Clock;

/**
 * Follows one request and its answer on one connection.
 *
 * <p>While the phase is {@code UNSENT} no byte of the request can have left, so a failure then is
 * certain not to have reached the server. One atomic step leads either to {@code SENT}, right after
 * the permission was given, or to {@code ENDED}.
 */
final class Exchange implements ExchangeCall, Response.Listener, AnswerMemory.Holder {

    private static final int FIRST_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int LOAD_UNKNOWN = -1;

    /** An answer that began this long ago and came more slowly than this had no end in sight. */
    private static final long TRICKLE_MILLISECONDS = 300;

    private static final long TRICKLE_BYTES_PER_MILLISECOND = 10;

    private final ExchangeRequest request;
    private final ExchangeOptions options;
    private final Clock clock;
    private final HttpExchanger exchanger;
    private final Consumer<PooledConnection> keeper;
    private final CompletableFuture<ExchangeAnswer> answer = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private volatile Request jettyRequest;
    private volatile PooledConnection connection;
    private final AtomicReference<AttemptFailure> reason = new AtomicReference<>();
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.UNSENT);
    private volatile long sentMilliseconds;
    private volatile boolean begun;
    private volatile long begunMilliseconds;

    Exchange(
            ExchangeRequest request,
            ExchangeOptions options,
            Clock clock,
            HttpExchanger exchanger,
            Consumer<PooledConnection> keeper) {
        this.request = request;
        this.options = options;
        this.clock = clock;
        this.exchanger = exchanger;
        this.keeper = keeper;
        Futures.whenDone(answer, (whole, failure) -> exchanger.answerMemory().release(this));
    }

    ExchangeRequest request() {
        return request;
    }

    long leftMilliseconds() {
        return request.deadlineMilliseconds() - clock.monotonicMilliseconds();
    }

    @Override
    public CompletableFuture<ExchangeAnswer> answer() {
        return answer;
    }

    @Override
    public void cancel() {
        if (!failUnsent(AttemptFailure.CANCELLED, "cancelled before it was sent")) {
            abort(AttemptFailure.CANCELLED);
        }
    }

    void connectTimedOut() {
        failUnsent(AttemptFailure.CONNECTION_TIMED_OUT, "deadline");
    }

    void connectFailed(Throwable failure) {
        boolean refused = failure instanceof ConnectException;
        failUnsent(
                refused ? AttemptFailure.CONNECTION_REFUSED : AttemptFailure.CONNECTION_TIMED_OUT,
                String.valueOf(failure));
    }

    /** Sends the request on a connection, unless the exchange has ended in the meantime. */
    void sendOn(PooledConnection usable) {
        long leftMilliseconds = leftMilliseconds();
        if (answer.isDone() || leftMilliseconds <= 0 || !request.isPermitted()) {
            exchanger.keep(request.address(), usable);
            failUnsent(
                    leftMilliseconds <= 0
                            ? AttemptFailure.CONNECTION_TIMED_OUT
                            : AttemptFailure.NOT_PERMITTED,
                    "before it was sent");
            return;
        }
        if (request.identityCheck().needsQuestion(usable)) {
            askIdentity(usable);
        } else if (request.identityCheck().accepts(usable)) {
            write(usable, leftMilliseconds);
        } else {
            exchanger.keep(request.address(), usable);
            refuseIdentity(usable.identity().orElse(""));
        }
    }

    private void askIdentity(PooledConnection usable) {
        Exchange question =
                new Exchange(request.identityQuestion(), options, clock, exchanger, unused -> {});
        question.sendOn(usable);
        Futures.whenDone(
                question.answer,
                (whole, failure) -> {
                    if (failure == null) {
                        sendOn(question.connection);
                    } else {
                        identityUnknown(question, AttemptException.from(failure));
                    }
                });
    }

    private void identityUnknown(Exchange question, AttemptException failure) {
        boolean closedWhileIdle =
                failure.failure() == AttemptFailure.CONNECTION_BROKEN
                        && question.connection.isReused();
        if (closedWhileIdle) {
            exchanger.open(this);
        } else {
            boolean refused = failure.failure() == AttemptFailure.CONNECTION_REFUSED;
            failUnsent(
                    refused
                            ? AttemptFailure.CONNECTION_REFUSED
                            : AttemptFailure.CONNECTION_TIMED_OUT,
                    failure.getMessage());
        }
    }

    private void refuseIdentity(String shown) {
        if (phase.compareAndSet(Phase.UNSENT, Phase.ENDED)) {
            answer.completeExceptionally(
                    new AttemptException(
                            AttemptFailure.NOT_PERMITTED,
                            new LoadReport(shown, LOAD_UNKNOWN, false),
                            "address=" + request.address() + " boot_identity=" + shown));
        }
    }

    private void write(PooledConnection usable, long leftMilliseconds) {
        connection = usable;
        Request prepared = prepare(leftMilliseconds);
        jettyRequest = prepared;
        usable.connection().send(prepared, this);
    }

    private Request prepare(long leftMilliseconds) {
        Request prepared = exchanger.newJettyRequest(request);
        prepared.method(request.method()).path(request.target());
        List<Header> headers = request.headers(leftMilliseconds);
        prepared.headers(
                fields -> headers.forEach(header -> fields.add(header.name(), header.value())));
        if (request.hasBody()) {
            prepared.body(new BytesRequestContent((String) null, request.body()));
        }
        prepared.idleTimeout(0, TimeUnit.MILLISECONDS);
        prepared.timeout(leftMilliseconds, TimeUnit.MILLISECONDS);
        prepared.onRequestHeaders(this::askPermission);
        return prepared;
    }

    private void askPermission(Request prepared) {
        sentMilliseconds = clock.monotonicMilliseconds();
        if (!request.isPermitted()) {
            failUnsent(AttemptFailure.NOT_PERMITTED, "at the last moment");
        }
        if (!phase.compareAndSet(Phase.UNSENT, Phase.SENT)) {
            var unused =
                    prepared.abort(
                            failure(AttemptFailure.NOT_PERMITTED, "ended before it was sent"));
        }
    }

    private void abort(AttemptFailure failure) {
        reason.compareAndSet(null, failure);
        Request prepared = jettyRequest;
        if (prepared != null) {
            var unused = prepared.abort(failure(failure, "aborted"));
        }
    }

    @Override
    public void onBegin(Response response) {
        begunMilliseconds = clock.monotonicMilliseconds();
        begun = true;
    }

    private int answerLimitBytes() {
        return Math.min(options.answerLimitBytes(), request.answerLimitBytes());
    }

    @Override
    public void onHeaders(Response response) {
        if (response.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH) > answerLimitBytes()
                && !request.method().equals("HEAD")) {
            abort(AttemptFailure.ANSWER_TOO_LARGE);
        }
    }

    @Override
    public void onContent(Response response, ByteBuffer content) {
        if (body.size() + content.remaining() > answerLimitBytes()) {
            boolean announced = response.getHeaders().contains(HttpHeader.CONTENT_LENGTH);
            abort(announced ? AttemptFailure.ANSWER_TOO_LARGE : AttemptFailure.ANSWER_ENDLESS);
            return;
        }
        if (answer.isDone() || reason.get() != null) {
            return;
        }
        exchanger.answerMemory().grow(this, content.remaining());
        byte[] bytes = new byte[content.remaining()];
        content.get(bytes);
        body.writeBytes(bytes);
    }

    @Override
    public void stop() {
        abort(AttemptFailure.ANSWER_ENDLESS);
    }

    @Override
    public void onComplete(Result result) {
        if (result.isFailed()) {
            failAfterSend(result.getFailure());
        } else if (!isWhole(result.getResponse())) {
            connection.close();
            fail(AttemptFailure.ANSWER_INCOMPLETE, "the end of the answer is not marked");
        } else {
            finish(toAnswer(result.getResponse()));
        }
    }

    private boolean isWhole(Response response) {
        int status = response.getStatus();
        if (status < FIRST_FINAL_STATUS) {
            return false;
        }
        return request.isEndByCloseAllowed()
                || request.method().equals("HEAD")
                || status == NO_CONTENT
                || status == NOT_MODIFIED
                || response.getHeaders().contains(HttpHeader.CONTENT_LENGTH)
                || response.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
    }

    private ExchangeAnswer toAnswer(Response response) {
        List<Header> headers =
                response.getHeaders().stream()
                        .map(field -> new Header(field.getName(), field.getValue()))
                        .toList();
        return new ExchangeAnswer(response.getStatus(), headers, body.toByteArray());
    }

    private void finish(ExchangeAnswer whole) {
        if (request.accepts(whole)) {
            request.identityCheck().remember(connection, whole);
            keeper.accept(connection);
            answer.complete(whole);
        } else {
            connection.close();
            fail(AttemptFailure.ANSWER_CROSSED, "the answer names another request");
        }
    }

    private void failAfterSend(Throwable failure) {
        connection.close();
        if (phase.get() == Phase.UNSENT) {
            sendOnNewConnection(failure);
            return;
        }
        AttemptFailure kind = classify(failure);
        if (kind == AttemptFailure.TIMED_OUT && !begun && connection.isReused()) {
            exchanger.wentSilent(request.address(), sentMilliseconds);
        }
        fail(kind, String.valueOf(failure));
    }

    private void sendOnNewConnection(Throwable failure) {
        if (connection.isReused()) {
            exchanger.open(this);
        } else {
            failUnsent(AttemptFailure.CONNECTION_TIMED_OUT, String.valueOf(failure));
        }
    }

    private AttemptFailure classify(Throwable failure) {
        if (reason.get() != null) {
            return reason.get();
        }
        if (failure instanceof TimeoutException) {
            return trickles() ? AttemptFailure.ANSWER_ENDLESS : AttemptFailure.TIMED_OUT;
        }
        if (HttpExchanger.isHeadTooLarge(failure)) {
            return AttemptFailure.ANSWER_ENDLESS;
        }
        return begun ? AttemptFailure.ANSWER_INCOMPLETE : AttemptFailure.CONNECTION_BROKEN;
    }

    private boolean trickles() {
        long took = clock.monotonicMilliseconds() - begunMilliseconds;
        return begun
                && took >= TRICKLE_MILLISECONDS
                && body.size() < took * TRICKLE_BYTES_PER_MILLISECOND;
    }

    private boolean failUnsent(AttemptFailure failure, String detail) {
        if (!phase.compareAndSet(Phase.UNSENT, Phase.ENDED)) {
            return false;
        }
        fail(failure, detail);
        return true;
    }

    private void fail(AttemptFailure failure, String detail) {
        answer.completeExceptionally(failure(failure, detail));
    }

    private AttemptException failure(AttemptFailure failure, String detail) {
        return new AttemptException(
                failure, LoadReport.NONE, "address=" + request.address() + " " + detail);
    }

    private enum Phase {
        UNSENT,
        SENT,
        ENDED
    }
}
