package org.siskinramp.daemon.commandline;

import java.net.ConnectException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.siskinramp.daemon.administration.AdministrationToken;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Sends requests to the administration API and waits for the answers. */
final class AdministrationClient {

    private static final int THREADS = 4;
    private static final int ANSWER_LIMIT_BYTES = 64 * 1024 * 1024;
    private static final long CONNECT_TIMEOUT_MILLISECONDS = 3_000;
    private static final long REQUEST_TIMEOUT_MILLISECONDS = 15_000;

    private final URI administration;
    private final AdministrationToken token;

    AdministrationClient(URI administration, AdministrationToken token) {
        this.administration = administration;
        this.token = token;
    }

    /** Sends a query. A query without an answer fails with {@code ADMINISTRATION_UNREACHABLE}. */
    ApiReply query(String... segments) {
        return exchange("GET", null, ResultCode.ADMINISTRATION_UNREACHABLE, segments);
    }

    /**
     * Sends a command. If it gets no answer, it fails with {@code TICKET_UNCONFIRMED}, since it may
     * or may not have been executed, but with {@code ADMINISTRATION_UNREACHABLE} after a {@link
     * ConnectException}, which shows that it was not sent.
     */
    ApiReply command(String body, String... segments) {
        return exchange("POST", body, ResultCode.TICKET_UNCONFIRMED, segments);
    }

    private ApiReply exchange(
            String method, String body, ResultCode lostAnswerCode, String... segments) {
        HttpClient client = newClient();
        try {
            client.start();
            Request request =
                    client.newRequest(administration.resolve(path(segments)))
                            .method(method)
                            .headers(
                                    headers ->
                                            headers.put(
                                                    HttpHeader.AUTHORIZATION,
                                                    token.authorization()))
                            .timeout(REQUEST_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
            if (body != null) {
                request.body(new StringRequestContent("application/json", body));
            }
            ContentResponse response =
                    new CompletableResponseListener(request, ANSWER_LIMIT_BYTES).send().get();
            return new ApiReply(
                    response.getStatus(),
                    new String(response.getContent(), StandardCharsets.UTF_8));
        } catch (ExecutionException failure) {
            throw failureOf(failure.getCause(), lostAnswerCode);
        } catch (InterruptedException failure) {
            Thread.currentThread().interrupt();
            throw failureOf(failure, lostAnswerCode);
        } catch (Exception failure) {
            throw failureOf(failure, ResultCode.ADMINISTRATION_UNREACHABLE);
        } finally {
            stop(client);
        }
    }

    private ResultException failureOf(Throwable cause, ResultCode lostAnswerCode) {
        ResultCode code =
                cause instanceof ConnectException
                        ? ResultCode.ADMINISTRATION_UNREACHABLE
                        : lostAnswerCode;
        return new ResultException(code, administration + ": " + cause, cause);
    }

    private static HttpClient newClient() {
        HttpClient client = new HttpClient();
        QueuedThreadPool threads = new QueuedThreadPool(THREADS, 1);
        threads.setDaemon(true);
        client.setExecutor(threads);
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS);
        client.setFollowRedirects(false);
        return client;
    }

    private static void stop(HttpClient client) {
        try {
            client.stop();
        } catch (Exception failure) {
            Thread.currentThread().interrupt();
        }
    }

    private static String path(String... segments) {
        StringBuilder path = new StringBuilder("/v1");
        for (String segment : segments) {
            path.append('/').append(encoded(segment));
        }
        return path.toString();
    }

    private static String encoded(String segment) {
        return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
