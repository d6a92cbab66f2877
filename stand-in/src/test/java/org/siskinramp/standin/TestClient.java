package org.siskinramp.standin;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** An HTTP client for tests. */
public final class TestClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String address;

    public TestClient(String address) {
        this.address = address;
    }

    public CompletableFuture<HttpResponse<String>> send(
            String method, String path, String body, String... headers) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(TIMEOUT)
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    public HttpResponse<String> get(String path) {
        return send("GET", path, "").join();
    }

    public HttpResponse<String> post(String path, String body, String... headers) {
        return send("POST", path, body, headers).join();
    }

    public static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("condition not met in time");
            }
            Thread.sleep(2);
        }
    }
}
