package org.siskinramp.standin.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.After;
import io.cucumber.java.Before;
import io.cucumber.java.Scenario;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.standin.TestClient;
import org.siskinramp.standin.caller.LoadReport;
import org.siskinramp.standin.caller.LoadResult;
import org.siskinramp.standin.http.Json;

/** Defines the steps of the features. */
public final class ClusterSteps {

    private static final String ORDERS_PATH = "/dispatch/orders";
    private static final String CALLER_NAME = "crew-7";
    private static final long PROPAGATION_MILLISECONDS = 3000;
    private static final long SCHEDULING_MARGIN_MILLISECONDS = 1000;
    private static final String IN_PROGRESS_CODE = "214";
    private static final long OUTCOME_TIMEOUT_SECONDS = 10;
    private static final long SLOT_TAKEOVER_TIMEOUT_SECONDS = 30;

    private final Callers callers = new Callers();
    private Path directory;
    private Cluster cluster;
    private CompletableFuture<LoadResult> load;
    private HttpResponse<String> answer;
    private long lastCommandAtMilliseconds;
    private final List<HttpResponse<String>> answers = new ArrayList<>();
    private final List<Integer> acceptedQueueLimits = new ArrayList<>();

    /** Chooses the directory for the logs and settings of the processes. */
    @Before
    public void prepare(Scenario scenario) {
        String name = scenario.getName().replaceAll("[^A-Za-z0-9]+", "-");
        directory =
                Path.of("target", "cluster", name + "-" + System.currentTimeMillis())
                        .toAbsolutePath();
    }

    /** Ends every process that the scenario started. */
    @After
    public void stop() {
        callers.close();
        if (cluster != null) {
            cluster.close();
        }
    }

    @Given("3 entry hosts and 6 backend servers in 3 availability zones")
    public void startCluster() {
        cluster = new Cluster(directory);
        cluster.start();
        cluster.fileFirstTicket(false);
    }

    @Given("3 entry hosts that reach 6 backend servers through fault proxies")
    public void startClusterBehindProxies() {
        cluster = new Cluster(directory);
        cluster.start();
        cluster.fileFirstTicket(true);
    }

    @When("callers send {int} requests of every kind, {int} a second")
    public void sendEveryKind(int requests, int rate) {
        load = callers.sendEveryKind(cluster, targets(), requests, rate);
    }

    @When("callers send {int} reads, {int} a second")
    public void sendReads(int requests, int rate) {
        load = callers.sendReads(cluster, targets(), requests, rate);
    }

    @When("{int} milliseconds pass")
    public void waitMilliseconds(int milliseconds) {
        Waiting.milliseconds(milliseconds);
    }

    @When("all requests are completed")
    public void awaitLoad() {
        load.join();
    }

    @Then("every request was answered once")
    public void everyRequestWasAnsweredOnce() {
        assertEquals(total().sent(), total().answeredOnce(), summary());
    }

    @Then("at least {int} requests were answered once")
    public void atLeastAnswered(int requests) {
        assertTrue(total().answeredOnce() >= requests, summary());
    }

    @Then("no request failed or has an unknown outcome")
    public void noRequestFailedOrHasAnUnknownOutcome() {
        assertEquals(0, total().unknown() + total().failed(), summary());
    }

    @Then("no request ran twice, got a wrong answer or was falsely refused as not run")
    public void noRequestRanTwiceGotAWrongAnswerOrWasFalselyRefused() {
        assertEquals(0, total().judge().doubled(), summary());
        assertEquals(0, total().crossed(), summary());
        assertEquals(0, total().judge().falselyNotRun(), summary());
    }

    @Then("every answered request ran")
    public void everyAnsweredRequestRan() {
        assertEquals(0, total().judge().answeredWithoutRun(), summary());
    }

    @Then("no backend server was overloaded")
    public void noServerWasOverloaded() {
        assertEquals(0, cluster.sumOverServers("over_limit"), summary());
        assertEquals(0, cluster.sumOverServers("cold_overload"), summary());
    }

    @When("order {word} is sent to {word}")
    public void sendOrder(String requestId, String host) {
        sendOrderWith(requestId, "close valve 9", host);
    }

    @When("order {word} with {string} is sent to {word}")
    public void sendOrderWith(String requestId, String content, String host) {
        answer =
                new TestClient(cluster.host(host).callerAddress())
                        .post(
                                ORDERS_PATH,
                                content,
                                "Caller",
                                CALLER_NAME,
                                "Request-Id",
                                requestId,
                                "Request-Deadline",
                                "2000");
        answers.add(answer);
    }

    /** Sends the order again for as long as the answer says that its first copy is in progress. */
    @When("order {word} is sent again to {word} until it is no longer in progress")
    public void retryOrder(String requestId, String host) {
        Waiting.until(
                OUTCOME_TIMEOUT_SECONDS,
                () -> "outcome of " + requestId + " " + answer.body(),
                () -> {
                    sendOrder(requestId, host);
                    return !resultCode(answer).equals(IN_PROGRESS_CODE);
                });
    }

    @Then("the result code is {word}")
    public void theResultCodeIs(String code) {
        assertEquals(code, resultCode(answer), () -> answer.headers().map() + answer.body());
    }

    @Then("the answer says that this copy of the order did not run and when to retry")
    public void theAnswerSaysThisCopyDidNotRunAndWhenToRetry() {
        assertEquals("copy", answer.headers().firstValue("Not-Run").orElse(""));
        assertTrue(answer.headers().firstValue("Retry-After").isPresent(), answer.body());
    }

    @Then("both answers are the same")
    public void bothAnswersAreTheSame() {
        assertEquals(answers.get(0).body(), answer.body());
    }

    @Then("order {word} ran {int} time(s)")
    public void orderRan(String requestId, int times) {
        assertEquals(times, cluster.runsOf(CALLER_NAME, requestId));
    }

    @When("{word} is killed")
    public void kill(String host) {
        cluster.host(host).process().kill();
    }

    @When("{word} is paused for {int} milliseconds")
    public void pause(String host, int milliseconds) {
        cluster.host(host).process().pause();
        Waiting.milliseconds(milliseconds);
        cluster.host(host).process().resume();
    }

    @Then("{word} and {word} hold all slots")
    public void holdAllSlots(String first, String second) {
        Waiting.until(
                SLOT_TAKEOVER_TIMEOUT_SECONDS,
                () -> "all slots held, but " + heldSlots(first) + "+" + heldSlots(second),
                () -> heldSlots(first) + heldSlots(second) == Cluster.SLOTS_OF_ALL_SERVERS);
    }

    private int heldSlots(String host) {
        return cluster.host(host).heldSlots();
    }

    @When("{word} is shut down gracefully while requests are in progress")
    public void shutDownGracefully(String host) {
        assertEquals(0, cluster.host(host).process().terminate());
    }

    @When("operators take availability zone {word} {word}")
    public void changeAvailabilityZone(String name, String state) {
        String path = "/v1/availability-zones/" + name + "/" + state;
        lastCommandAtMilliseconds = System.currentTimeMillis();
        answer = cluster.host("entry-1").command("POST", path, "").join();
        assertEquals(200, answer.statusCode(), answer.body());
    }

    @Then("{word} received its last new request within 3 seconds")
    public void receivedLastRequestInTime(String server) {
        long delayMilliseconds = lastRequestAtMilliseconds(server) - lastCommandAtMilliseconds;
        assertTrue(
                delayMilliseconds <= PROPAGATION_MILLISECONDS + SCHEDULING_MARGIN_MILLISECONDS,
                () ->
                        server
                                + " received a new request "
                                + delayMilliseconds
                                + " ms after the command");
        assertTrue(lastRequestAtMilliseconds(server) > 0, server + " never received a request");
    }

    @Then("{word} received new requests again")
    public void receivedNewRequests(String server) {
        assertTrue(lastRequestAtMilliseconds(server) > lastCommandAtMilliseconds, server);
    }

    private long lastRequestAtMilliseconds(String server) {
        return cluster.executionStatistics(server).get("last_new_work_at_ms").asLong();
    }

    @When("the platform is unreachable")
    public void cutPlatform() {
        cluster.cutPlatform(true);
    }

    @When("the platform is reachable again")
    public void reconnectPlatform() {
        cluster.cutPlatform(false);
    }

    @When("ticket {int} is filed at {word}")
    public void fileTicket(int number, String host) {
        answer = postTicket(number, 60, host).join();
    }

    private CompletableFuture<HttpResponse<String>> postTicket(
            int number, int queueLimit, String host) {
        String content = TicketJson.queueLimitTicket(number, queueLimit);
        return cluster.host(host).command("POST", "/v1/tickets", content);
    }

    @Then("the ticket is refused with result code {int}")
    public void ticketIsRefused(int code) {
        assertTrue(answer.body().contains("\"code\":" + code), answer.body());
    }

    @Then("the ticket is accepted")
    public void ticketIsAccepted() {
        assertEquals(200, answer.statusCode(), answer.body());
    }

    @Then("ticket {int} is unknown")
    public void ticketIsUnknown(int number) {
        int status =
                cluster.host("entry-1")
                        .command("GET", "/v1/tickets/" + number, "")
                        .join()
                        .statusCode();
        assertEquals(404, status);
    }

    @When("two operators file conflicting tickets {int} to {int} at the same time")
    public void fileConflictingTickets(int first, int last) {
        for (int number = first; number <= last; number++) {
            CompletableFuture<HttpResponse<String>> firstAnswer =
                    postTicket(number, 100 + number, "entry-1");
            CompletableFuture<HttpResponse<String>> secondAnswer =
                    postTicket(number, 200 + number, "entry-2");
            boolean firstWon = firstAnswer.join().statusCode() == 200;
            String bothBodies = firstAnswer.join().body() + secondAnswer.join().body();
            assertEquals(firstWon ? 409 : 200, secondAnswer.join().statusCode(), bothBodies);
            assertEquals(firstWon ? 200 : 409, firstAnswer.join().statusCode(), bothBodies);
            acceptedQueueLimits.add((firstWon ? 100 : 200) + number);
            lastCommandAtMilliseconds = System.currentTimeMillis();
        }
    }

    @Then("ticket {int} is in force on all hosts within 3 seconds")
    public void ticketIsInForce(int number) {
        Waiting.until(
                (PROPAGATION_MILLISECONDS + SCHEDULING_MARGIN_MILLISECONDS) / 1000,
                () -> "ticket in force: " + number,
                () -> cluster.isInForceEverywhere(number));
    }

    @When("every host is restarted in turn")
    public void restartHosts() {
        cluster.hosts().forEach(host -> cluster.restartHost(host.name()));
    }

    @Then("every host shows the accepted tickets from {int} on")
    public void showsTickets(int first) {
        for (RunningHost host : cluster.hosts()) {
            for (int index = 0; index < acceptedQueueLimits.size(); index++) {
                JsonNode detail = host.query("/v1/tickets/" + (first + index));
                String content = detail.get("content").asText();
                JsonNode service =
                        Json.read(content.getBytes(StandardCharsets.UTF_8), JsonNode.class)
                                .get("services")
                                .get(0);
                assertEquals(
                        acceptedQueueLimits.get(index),
                        service.get("queue_limit").asInt(),
                        host.name());
            }
        }
    }

    @When("{word} is killed and restarted")
    public void restartServer(String server) {
        cluster.restartServer(server);
    }

    @When("all open connections to backend servers stop responding")
    public void silenceConnections() {
        cluster.silenceServerConnections();
    }

    @Given("a request with {string} crashes each backend server that runs it")
    public void crashOnContent(String content) {
        cluster.injectServerFaults("{\"crash_on_content\": \"" + content + "\"}");
    }

    @Then("backend servers crashed {int} times")
    public void serversCrashed(int times) {
        assertEquals(times, cluster.sumOverServers("crashes"));
    }

    private List<String> targets() {
        return cluster.hosts().stream().map(RunningHost::callerAddress).toList();
    }

    private LoadReport total() {
        return load.join().total();
    }

    private String summary() {
        return directory + " " + total().toEvent().toLine();
    }

    private static String resultCode(HttpResponse<String> answer) {
        return answer.headers().firstValue("Result-Code").orElse("");
    }
}
