package org.siskinramp.daemon.administration;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Passes requests from Jetty to {@link AdministrationRoutes} and writes the answers. */
final class AdministrationHandler extends Handler.Abstract.NonBlocking {

    private static final int BODY_LIMIT_BYTES = 4 * 1024 * 1024;
    private static final int DISCARD_LIMIT_BYTES = 4 * BODY_LIMIT_BYTES;
    private static final long SECOND_MILLISECONDS = 1000;

    private final AdministrationRoutes routes;

    AdministrationHandler(AdministrationRoutes routes) {
        this.routes = routes;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        CompletableFuture<Void> unused =
                readBody(request)
                        .thenCompose(body -> routes.answer(requestOf(request, body)))
                        .exceptionally(failure -> ApiAnswer.failure(ResultException.from(failure)))
                        .thenAccept(answer -> write(answer, response, callback));
        return true;
    }

    private static CompletableFuture<String> readBody(Request request) {
        if (request.getLength() > DISCARD_LIMIT_BYTES) {
            return CompletableFuture.failedFuture(tooLarge());
        }
        if (request.getLength() > BODY_LIMIT_BYTES) {
            return discardBody(request);
        }
        CompletableFuture<byte[]> body = new CompletableFuture<>();
        Content.Source.asByteArrayAsync(
                request, BODY_LIMIT_BYTES, Promise.Invocable.toPromise(body));
        return body.thenApply(bytes -> new String(bytes, StandardCharsets.UTF_8))
                .exceptionallyCompose(
                        failure -> CompletableFuture.failedFuture(bodyFailure(failure)));
    }

    /**
     * Reads and discards a body that is too large, and refuses it afterwards. If the connection
     * were closed while the client is still sending, the client might not receive the answer.
     */
    private static CompletableFuture<String> discardBody(Request request) {
        CompletableFuture<Void> discarded = new CompletableFuture<>();
        Content.Source.consumeAll(request, Callback.from(discarded));
        return discarded.thenApply(
                nothing -> {
                    throw tooLarge();
                });
    }

    private static ResultException bodyFailure(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        return cause instanceof IllegalStateException || failure instanceof IllegalStateException
                ? tooLarge()
                : new ResultException(ResultCode.REQUEST_INCOMPLETE, String.valueOf(cause));
    }

    private static ResultException tooLarge() {
        return new ResultException(
                ResultCode.BODY_TOO_LARGE, "at most " + BODY_LIMIT_BYTES + " bytes");
    }

    private static ApiRequest requestOf(Request request, String body) {
        return ApiRequest.of(
                request.getMethod(),
                request.getHttpURI().getPath(),
                request.getHeaders().get(HttpHeader.AUTHORIZATION),
                body);
    }

    private static void write(ApiAnswer answer, Response response, Callback callback) {
        response.setStatus(answer.status());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, answer.contentType());
        answer.retryAfterMilliseconds()
                .ifPresent(
                        milliseconds ->
                                response.getHeaders()
                                        .put(HttpHeader.RETRY_AFTER, seconds(milliseconds)));
        response.write(true, ByteBuffer.wrap(answer.body()), callback);
    }

    private static long seconds(long milliseconds) {
        return (milliseconds + SECOND_MILLISECONDS - 1) / SECOND_MILLISECONDS;
    }
}
