package org.siskinramp.daemon.exchange;

import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.eclipse.jetty.client.ByteBufferRequestContent;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.siskinramp.attempt.AttemptException;
import org.siskinramp.attempt.AttemptFailure;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.daemon.buffer.BodyBuffer;
import org.siskinramp.daemon.buffer.Slices;
import org.siskinramp.request.Header;
import org.siskinramp.result.Futures;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;

/**
 * Sends one request on a connection and reads its answer.
 *
 * <p>While the phase is {@code UNSENT}, no byte of the request has been written, so that a failure
 * proves that the server did not get the request. The phase changes atomically, either to {@code
 * SENT} right after the permission was checked, or to {@code ENDED}.
 */
final class Exchange implements ExchangeCall, Response.Listener, AnswerBufferLimiter.BufferOwner {

    private static final int FIRST_FINAL_STATUS = 200;
    private static final int LAST_STATUS = 599;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int LOAD_UNKNOWN = -1;
    private static final long LENGTH_UNKNOWN = -1;

    /**
     * If the deadline passes while an answer has been arriving for at least this long, and more
     * slowly than {@link #TRICKLE_BYTES_PER_MILLISECOND}, the answer counts as endless.
     */
    private static final long TRICKLE_MINIMUM_MILLISECONDS = 300;

    private static final long TRICKLE_BYTES_PER_MILLISECOND = 10;

    private final ExchangeRequest request;
    private final ExchangeOptions options;
    private final Clock clock;
    private final HttpExchanger exchanger;
    private final Consumer<PooledConnection> connectionReleaser;
    private final CompletableFuture<ExchangeAnswer> answer = new CompletableFuture<>();
    private BodyBuffer body = newBody(LENGTH_UNKNOWN);
    private volatile Request jettyRequest;
    private volatile PooledConnection connection;
    private final AtomicReference<AttemptFailure> abortReason = new AtomicReference<>();
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.UNSENT);
    private volatile long sentMilliseconds;
    private volatile boolean answerStarted;
    private volatile long answerStartMilliseconds;

    Exchange(
            ExchangeRequest request,
            ExchangeOptions options,
            Clock clock,
            HttpExchanger exchanger,
            Consumer<PooledConnection> connectionReleaser) {
        this.request = request;
        this.options = options;
        this.clock = clock;
        this.exchanger = exchanger;
        this.connectionReleaser = connectionReleaser;
        Futures.whenDone(answer, (ended, failure) -> exchanger.answerBufferLimiter().release(this));
    }

    ExchangeRequest request() {
        return request;
    }

    long leftMilliseconds() {
        return request.deadlineMilliseconds() - clock.monotonicMilliseconds();
    }

    @Override
    public void start() {
        exchanger.start(this);
    }

    @Override
    public CompletableFuture<ExchangeAnswer> answer() {
        return answer;
    }

    @Override
    public void cancel() {
        if (!failUnsent(AttemptFailure.CANCELLED, "cancelled before the request was sent")) {
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

    /** Ends the exchange after an unexpected failure; a request that was sent may have run. */
    void failUnexpectedly(Throwable failure) {
        if (!failUnsent(AttemptFailure.CONNECTION_TIMED_OUT, String.valueOf(failure))) {
            abort(AttemptFailure.ANSWER_INCOMPLETE);
            fail(AttemptFailure.ANSWER_INCOMPLETE, String.valueOf(failure));
        }
    }

    /** Sends the request on a connection, unless the exchange has ended in the meantime. */
    void sendOn(PooledConnection candidate) {
        try {
            sendIfPermitted(candidate);
        } catch (RuntimeException | Error failure) {
            candidate.close();
            failUnexpectedly(failure);
        }
    }

    private void sendIfPermitted(PooledConnection candidate) {
        long leftMilliseconds = leftMilliseconds();
        if (answer.isDone() || leftMilliseconds <= 0 || !request.isPermitted()) {
            exchanger.releaseConnection(request.address(), candidate);
            failUnsent(
                    leftMilliseconds <= 0
                            ? AttemptFailure.CONNECTION_TIMED_OUT
                            : AttemptFailure.NOT_PERMITTED,
                    "ended before the request was sent");
            return;
        }
        if (request.identityCheck().needsIdentityRequest(candidate)) {
            requestIdentity(candidate);
        } else if (request.identityCheck().accepts(candidate)) {
            write(candidate, leftMilliseconds);
        } else {
            exchanger.releaseConnection(request.address(), candidate);
            failIdentityMismatch(candidate.identity().orElse(""));
        }
    }

    private void requestIdentity(PooledConnection candidate) {
        Exchange identityExchange =
                new Exchange(request.identityRequest(), options, clock, exchanger, unused -> {});
        identityExchange.sendOn(candidate);
        Futures.whenDone(
                identityExchange.answer,
                (identityAnswer, failure) -> {
                    if (failure == null) {
                        sendOn(identityExchange.connection);
                    } else {
                        handleIdentityFailure(identityExchange, AttemptException.from(failure));
                    }
                });
    }

    private void handleIdentityFailure(Exchange identityExchange, AttemptException failure) {
        boolean closedWhileIdle =
                failure.failure() == AttemptFailure.CONNECTION_BROKEN
                        && identityExchange.connection.isReused();
        if (closedWhileIdle) {
            exchanger.openConnection(this);
        } else {
            boolean refused = failure.failure() == AttemptFailure.CONNECTION_REFUSED;
            failUnsent(
                    refused
                            ? AttemptFailure.CONNECTION_REFUSED
                            : AttemptFailure.CONNECTION_TIMED_OUT,
                    failure.getMessage());
        }
    }

    private void failIdentityMismatch(String actual) {
        if (phase.compareAndSet(Phase.UNSENT, Phase.ENDED)) {
            answer.completeExceptionally(
                    new AttemptException(
                            AttemptFailure.NOT_PERMITTED,
                            new LoadReport(actual, LOAD_UNKNOWN, false),
                            "address=" + request.address() + " boot_identity=" + actual));
        }
    }

    private void write(PooledConnection chosen, long leftMilliseconds) {
        connection = chosen;
        Request prepared = prepare(leftMilliseconds);
        jettyRequest = prepared;
        chosen.connection().send(prepared, this);
    }

    private Request prepare(long leftMilliseconds) {
        Request prepared = exchanger.newJettyRequest(request);
        prepared.method(request.method()).path(request.target());
        List<Header> headers = request.headers(leftMilliseconds);
        prepared.headers(
                fields -> headers.forEach(header -> fields.add(header.name(), header.value())));
        if (request.hasBody()) {
            prepared.body(new ByteBufferRequestContent((String) null, Slices.of(request.body())));
        }
        prepared.idleTimeout(0, TimeUnit.MILLISECONDS);
        prepared.timeout(leftMilliseconds, TimeUnit.MILLISECONDS);
        prepared.onRequestHeaders(this::checkPermission);
        return prepared;
    }

    private void checkPermission(Request prepared) {
        sentMilliseconds = clock.monotonicMilliseconds();
        if (!request.isPermitted()) {
            failUnsent(AttemptFailure.NOT_PERMITTED, "permission withdrawn before the first byte");
        }
        if (!phase.compareAndSet(Phase.UNSENT, Phase.SENT)) {
            var unused =
                    prepared.abort(
                            createException(
                                    AttemptFailure.NOT_PERMITTED,
                                    "exchange ended before the request was sent"));
        }
    }

    private void abort(AttemptFailure failure) {
        abortReason.compareAndSet(null, failure);
        Request prepared = jettyRequest;
        if (prepared != null) {
            var unused = prepared.abort(createException(failure, "aborted"));
        }
    }

    @Override
    public void onBegin(Response response) {
        answerStartMilliseconds = clock.monotonicMilliseconds();
        answerStarted = true;
    }

    private int answerLimitBytes() {
        return Math.min(options.answerLimitBytes(), request.answerLimitBytes());
    }

    @Override
    public void onHeaders(Response response) {
        long length = response.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH);
        if (length > answerLimitBytes() && !request.method().equals("HEAD")) {
            abort(AttemptFailure.ANSWER_TOO_LARGE);
        } else {
            body = newBody(length);
        }
    }

    private BodyBuffer newBody(long length) {
        return new BodyBuffer(this::reserve, length);
    }

    private void reserve(long bytes) {
        exchanger.answerBufferLimiter().resizeTo(this, bytes);
        if (abortReason.get() != null) {
            throw new ResultException(
                    ResultCode.BACKEND_SERVER_FAILED, "the answers exceed their total limit");
        }
    }

    @Override
    public void onContent(Response response, ByteBuffer content) {
        if (body.size() + content.remaining() > answerLimitBytes()) {
            boolean hasLength = response.getHeaders().contains(HttpHeader.CONTENT_LENGTH);
            abort(hasLength ? AttemptFailure.ANSWER_TOO_LARGE : AttemptFailure.ANSWER_ENDLESS);
            return;
        }
        if (answer.isDone() || abortReason.get() != null) {
            return;
        }
        try {
            body.add(content);
        } catch (ResultException | OutOfMemoryError failure) {
            abort(AttemptFailure.ANSWER_ENDLESS);
            body.clear();
            exchanger.answerBufferLimiter().release(this);
        }
    }

    @Override
    public void abortForMemory() {
        abort(AttemptFailure.ANSWER_ENDLESS);
    }

    @Override
    public void onComplete(Result result) {
        try {
            complete(result);
        } catch (RuntimeException | Error failure) {
            connection.close();
            failUnexpectedly(failure);
        }
    }

    private void complete(Result result) {
        if (result.isFailed()) {
            failAfterSend(result.getFailure());
        } else if (result.getResponse().getStatus() > LAST_STATUS) {
            connection.close();
            failAsInvalid("status " + result.getResponse().getStatus());
        } else if (!isComplete(result.getResponse())) {
            connection.close();
            fail(AttemptFailure.ANSWER_INCOMPLETE, "the end of the answer cannot be determined");
        } else {
            completeAnswer(toAnswer(result.getResponse()));
        }
    }

    private boolean isComplete(Response response) {
        int status = response.getStatus();
        if (status < FIRST_FINAL_STATUS) {
            return false;
        }
        return request.isCloseDelimitedAllowed()
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
        return new ExchangeAnswer(response.getStatus(), headers, body.toBytes());
    }

    /**
     * Accepts an answer that names no request only if it is the first one of its connection, since
     * then it cannot be left over from an earlier request.
     */
    private void completeAnswer(ExchangeAnswer received) {
        boolean first = !connection.hasAnswered();
        connection.markAnswered();
        AnswerAttribution attribution = request.attribute(received);
        if (attribution == AnswerAttribution.PROVEN
                || (attribution == AnswerAttribution.UNPROVEN && first)) {
            accept(received);
        } else {
            connection.close();
            fail(AttemptFailure.ANSWER_CROSSED, "the answer may belong to another request");
        }
    }

    private void accept(ExchangeAnswer received) {
        request.identityCheck().recordIdentity(connection, received);
        if (request.allowsReuseAfter(received)) {
            connectionReleaser.accept(connection);
        } else {
            connection.close();
        }
        answer.complete(received);
    }

    private void failAfterSend(Throwable failure) {
        connection.close();
        if (phase.get() == Phase.UNSENT) {
            retryOnNewConnection(failure);
            return;
        }
        AttemptFailure kind = classify(failure);
        if (kind == AttemptFailure.TIMED_OUT && !answerStarted && connection.isReused()) {
            exchanger.handleSilentConnection(request.address(), sentMilliseconds);
        }
        fail(kind, String.valueOf(failure));
    }

    private void retryOnNewConnection(Throwable failure) {
        if (connection.isReused()) {
            exchanger.openConnection(this);
        } else {
            failUnsent(AttemptFailure.CONNECTION_TIMED_OUT, String.valueOf(failure));
        }
    }

    private AttemptFailure classify(Throwable failure) {
        if (abortReason.get() != null) {
            return abortReason.get();
        }
        if (failure instanceof TimeoutException) {
            return isTrickling() ? AttemptFailure.ANSWER_ENDLESS : AttemptFailure.TIMED_OUT;
        }
        if (HttpExchanger.isHeadTooLarge(failure)) {
            return AttemptFailure.ANSWER_ENDLESS;
        }
        if (HttpExchanger.isMalformed(failure)) {
            exchanger.countInvalidAnswer();
        }
        return answerStarted ? AttemptFailure.ANSWER_INCOMPLETE : AttemptFailure.CONNECTION_BROKEN;
    }

    /** Fails a request that the server may have run, since its answer proves nothing. */
    private void failAsInvalid(String detail) {
        exchanger.countInvalidAnswer();
        fail(AttemptFailure.ANSWER_INVALID, detail);
    }

    private boolean isTrickling() {
        long durationMilliseconds = clock.monotonicMilliseconds() - answerStartMilliseconds;
        return answerStarted
                && durationMilliseconds >= TRICKLE_MINIMUM_MILLISECONDS
                && body.size() < durationMilliseconds * TRICKLE_BYTES_PER_MILLISECOND;
    }

    private boolean failUnsent(AttemptFailure failure, String detail) {
        if (!phase.compareAndSet(Phase.UNSENT, Phase.ENDED)) {
            return false;
        }
        fail(failure, detail);
        return true;
    }

    private void fail(AttemptFailure failure, String detail) {
        answer.completeExceptionally(createException(failure, detail));
    }

    private AttemptException createException(AttemptFailure failure, String detail) {
        return new AttemptException(
                failure, LoadReport.NONE, "address=" + request.address() + " " + detail);
    }

    private enum Phase {
        UNSENT,
        SENT,
        ENDED
    }
}
