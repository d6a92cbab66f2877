package org.siskinramp.standin.cluster;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends reads and writes over persistent connections, and records the answer to each. */
final class SoakCallers {

    static final int NO_ANSWER = -1;

    private static final int OK = 200;

    /** Path of the requests that crash the servers that run them. */
    static final String CRASHING_PATH = "/read/crash";

    private static final int REQUESTS_PER_CRASHING_REQUEST = 40;
    private static final String READ_PREFIX = "/read/";
    private static final String WRITE_PREFIX = "/write/";
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);
    private static final Set<Integer> MAY_HAVE_RUN_STATUSES = Set.of(502, 504);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);
    private static final String BODY = "close valve 9";

    private final SoakDeployment deployment;
    private final AtomicInteger requestNumbers = new AtomicInteger();
    private final AtomicBoolean running = new AtomicBoolean();
    private final List<Thread> threads = new ArrayList<>();
    private final Map<String, Integer> writeStatuses = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> answerViolations = new ConcurrentLinkedQueue<>();
    private final AtomicInteger answered = new AtomicInteger();

    SoakCallers(SoakDeployment deployment) {
        this.deployment = deployment;
    }

    /** Starts a thread for each caller, which sends requests with pauses until {@link #stop}. */
    void start(int callers, long pauseMilliseconds) {
        running.set(true);
        for (int caller = 0; caller < callers; caller++) {
            int callerNumber = caller;
            Thread thread = new Thread(() -> callUntilStopped(callerNumber, pauseMilliseconds));
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    void stop() throws InterruptedException {
        running.set(false);
        for (Thread thread : threads) {
            thread.join();
        }
        threads.clear();
    }

    private void callUntilStopped(int caller, long pauseMilliseconds) {
        HttpClient client = newClient();
        for (int turn = caller; running.get(); turn++) {
            boolean crash =
                    turn % REQUESTS_PER_CRASHING_REQUEST == REQUESTS_PER_CRASHING_REQUEST - 1;
            String ordinaryPrefix = turn % 2 == 0 ? WRITE_PREFIX : READ_PREFIX;
            send(client, turn % SoakDeployment.HOSTS, crash ? CRASHING_PATH : ordinaryPrefix);
            Waiting.milliseconds(pauseMilliseconds);
        }
    }

    private static HttpClient newClient() {
        return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    }

    /** Sends a read or a write over a new connection and returns the status. */
    int sendOnNewConnection(int host, boolean write) {
        return send(newClient(), host, write ? WRITE_PREFIX : READ_PREFIX);
    }

    /** Sends a read to a route over a new connection and returns the status. */
    int readOnNewConnection(int host, String prefix) {
        return send(newClient(), host, prefix);
    }

    private int send(HttpClient client, int host, String prefix) {
        boolean write = prefix.equals(WRITE_PREFIX);
        String id = (write ? "write-" : "read-") + requestNumbers.incrementAndGet();
        String path = prefix.equals(CRASHING_PATH) ? CRASHING_PATH : prefix + id;
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://localhost:" + deployment.callerPort(host) + path))
                        .timeout(REQUEST_TIMEOUT)
                        .headers("X-Siskinramp-Request-Id", id)
                        .headers("X-Siskinramp-Request-Deadline-Ms", "3000")
                        .method(
                                write ? "POST" : "GET",
                                HttpRequest.BodyPublishers.ofString(write ? BODY : ""))
                        .build();
        int status = NO_ANSWER;
        try {
            HttpResponse<String> answer =
                    client.send(request, HttpResponse.BodyHandlers.ofString());
            status = answer.statusCode();
            checkAnswer(id, path, write, answer);
        } catch (IOException lost) {
            // Without an answer, the request may or may not have run.
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
        if (write) {
            writeStatuses.put(id, status);
        }
        return status;
    }

    private void checkAnswer(String id, String path, boolean write, HttpResponse<String> answer) {
        int status = answer.statusCode();
        if (status == OK) {
            answered.incrementAndGet();
            String expectedBody =
                    write ? "POST " + path + " " + BODY.length() : "GET " + path + " 0";
            boolean hasSignature =
                    answer.headers().firstValue("X-Siskinramp-Upstream-Signature").isPresent();
            boolean hasOwnRequestId =
                    answer.headers().firstValue("X-Siskinramp-Request-Id").orElse("").equals(id);
            if (!hasSignature || !hasOwnRequestId || !answer.body().equals(expectedBody)) {
                answerViolations.add(
                        "wrong answer: " + id + " got " + answer.headers().map() + answer.body());
            }
        } else if (!NOT_RUN_STATUSES.contains(status) && !MAY_HAVE_RUN_STATUSES.contains(status)) {
            answerViolations.add(
                    "unexpected status: " + id + " got " + status + " " + answer.body());
        }
    }

    int answered() {
        return answered.get();
    }

    /** Compares the answers to callers with what servers ran, and returns each contradiction. */
    List<String> violations(Map<String, Integer> runs) {
        List<String> violations = new ArrayList<>(answerViolations);
        runs.forEach(
                (id, count) -> {
                    if (id.startsWith("write-") && count > 1) {
                        violations.add("repeated write: " + id + " ran " + count + " times");
                    }
                });
        writeStatuses.forEach(
                (id, status) -> {
                    int count = runs.getOrDefault(id, 0);
                    if (NOT_RUN_STATUSES.contains(status) && count > 0) {
                        violations.add("refused write: " + id + " got " + status + " and ran");
                    } else if (status == OK && count == 0) {
                        violations.add("unexecuted write: " + id + " was answered and never ran");
                    }
                });
        return violations;
    }
}
