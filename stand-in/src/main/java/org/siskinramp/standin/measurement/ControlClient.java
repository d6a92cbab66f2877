package org.siskinramp.standin.measurement;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Sends commands and queries to the processes under load, and waits for each answer. */
final class ControlClient implements AutoCloseable {

    private static final long TIMEOUT_MILLISECONDS = 10_000;
    private static final int FIRST_NON_SUCCESS_STATUS = 300;

    private final HttpClient client = new HttpClient();
    private final String token;

    ControlClient(String token) {
        this.token = token;
        try {
            client.start();
        } catch (Exception failure) {
            throw new IllegalStateException("cannot start the control client", failure);
        }
    }

    byte[] get(String address, String path) {
        return send(client.newRequest("http://" + address + path));
    }

    void post(String address, String path, String body) {
        send(
                client.newRequest("http://" + address + path)
                        .method("POST")
                        .headers(headers -> headers.put("Authorization", "Bearer " + token))
                        .body(new StringRequestContent("application/json", body)));
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("cannot stop the control client", failure);
        }
    }

    private byte[] send(Request request) {
        try {
            ContentResponse response =
                    request.timeout(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS).send();
            if (response.getStatus() >= FIRST_NON_SUCCESS_STATUS) {
                throw failed(request, response.getStatus() + " " + response.getContentAsString());
            }
            return response.getContent();
        } catch (ExecutionException | TimeoutException failure) {
            throw failed(request, failure.toString());
        } catch (InterruptedException failure) {
            Thread.currentThread().interrupt();
            throw failed(request, "interrupted");
        }
    }

    private static ResultException failed(Request request, String reason) {
        return new ResultException(
                ResultCode.REQUEST_INVALID,
                request.getMethod() + " " + request.getURI() + ": " + reason);
    }
}
