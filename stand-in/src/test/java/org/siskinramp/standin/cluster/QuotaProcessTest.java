package org.siskinramp.standin.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinramp.standin.TestClient;
import org.siskinramp.standin.upstream.SampleDeployment;

/**
 * Runs gateways as processes with a workspace whose callers are connected to one of them. Guards
 * against a workspace that gets only the share of that host, and against one that gets more than
 * its quota over all hosts.
 */
class QuotaProcessTest {

    private static final int HOSTS = 4;
    private static final int RATE_PER_SECOND = 40;
    private static final int BURST = 20;
    private static final int SECONDS = 10;

    /** Added hosts mint nothing for 12 s; then each has minted its tokens of a burst. */
    private static final long FIRST_TOKENS_MILLISECONDS = 13_500;

    private final Path directory =
            Path.of("target", "quota", Long.toString(System.nanoTime())).toAbsolutePath();
    private GatewayDeployment deployment;
    private int requestCount;

    @BeforeEach
    void start() throws Exception {
        Files.createDirectories(directory);
        deployment = new GatewayDeployment(directory, 8, 5, 50);
        deployment.startGateways(HOSTS);
        deployment.awaitHostsCounted();
        deployment
                .store()
                .put(
                        "op",
                        "config",
                        SampleDeployment.configuration(2)
                                .replace(
                                        "\"hosts\":[",
                                        """
                                        "tenants":[
                                        {"name":"crew","api_keys":["key-1"],"rate_per_s":%d,"burst":%d},
                                        {"name":"staff","api_keys":["key-2"]}],"hosts":["""
                                                .formatted(RATE_PER_SECOND, BURST)));
        TestClient.await(() -> deployment.allLogged("event=configuration version=2"));
        Thread.sleep(FIRST_TOKENS_MILLISECONDS);
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    private CompletableFuture<HttpResponse<String>> send(int host, String key) {
        String requestId = "quota-" + ++requestCount;
        return deployment
                .caller(host)
                .send(
                        "GET",
                        "/read/" + requestId,
                        "",
                        "X-Siskinramp-Request-Id",
                        requestId,
                        "Authorization",
                        "Bearer " + key);
    }

    /** Sends more than the quota for some time; returns the answers. */
    private List<HttpResponse<String>> sendFor(int hosts, int perSecond, int seconds)
            throws InterruptedException {
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int sent = 0; sent < perSecond * seconds; sent++) {
            answers.add(send(sent % hosts, "key-1"));
            Thread.sleep(1_000 / perSecond);
        }
        return answers.stream().map(CompletableFuture::join).toList();
    }

    private static long count(List<HttpResponse<String>> answers, int status) {
        return answers.stream().filter(answer -> answer.statusCode() == status).count();
    }

    @Test
    void theQuotaHoldsOverAllHostsAndIsAvailableAtOne() throws Exception {
        List<HttpResponse<String>> below = sendFor(1, RATE_PER_SECOND * 3 / 4, SECONDS);
        assertTrue(count(below, 200) >= 0.9 * below.size(), "served " + count(below, 200));
        long start = System.nanoTime();
        List<HttpResponse<String>> above = sendFor(HOSTS, RATE_PER_SECOND * 5, SECONDS);
        // A busy machine sends them in a longer time.
        double seconds = (System.nanoTime() - start) / 1e9;
        double bound = 1.1 * (RATE_PER_SECOND * seconds + BURST) + 20;
        assertTrue(
                count(above, 200) <= bound,
                "served " + count(above, 200) + " in " + seconds + " s, bound " + bound);
        assertEquals(above.size(), count(above, 200) + count(above, 429));
        HttpResponse<String> refusal =
                above.stream().filter(answer -> answer.statusCode() == 429).findFirst().get();
        String delaySeconds = refusal.headers().firstValue("Retry-After").orElse("");
        assertTrue(delaySeconds.matches("\\d+\\.\\d{3}"), delaySeconds);
        assertEquals(200, send(0, "key-2").join().statusCode());
        TestClient.await(() -> deployment.allLogged("event=quota_refused "));
    }
}
