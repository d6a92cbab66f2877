package org.siskinramp.standin.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.siskinramp.request.Header;
import org.siskinramp.standin.TestClient;
import org.siskinramp.standin.upstream.SampleDeployment;

/**
 * Runs a gateway as a process whose callers send, on one kept connection, header values that differ
 * in letter case only. Guards against decisions from a value that was sent before, and against one
 * that is passed on instead.
 */
class VerbatimHeadersProcessTest {

    private static final long SERVICE_TIME_MILLISECONDS = 50;
    private static final int CONFIGURATION_VERSION = 2;

    private static final String CREW_KEY = "Authorization: Bearer key-7f3a";
    private static final String YARD_KEY = "Authorization: Bearer KEY-7F3A";
    private static final String UNKNOWN_KEY = "Authorization: Bearer Key-7f3a";
    private static final String TENANT = "X-Siskinramp-Tenant";
    private static final String HOST = "Host: localhost";

    /** The workspace crew is always beyond its quota; yard has none. */
    private static final String QUOTA_OF_CREW = ",\"rate_per_s\":0.01,\"burst\":0";

    @TempDir private Path directory;

    private final ReceivedFields received = new ReceivedFields();
    private GatewayDeployment deployment;
    private RawConnection caller;
    private int requestCount;

    @BeforeEach
    void start() throws Exception {
        deployment = new GatewayDeployment(directory, 1, SERVICE_TIME_MILLISECONDS, 40);
        deployment.server(0).setRunListener(received);
        deployment.startGateways(1);
        String port = deployment.gateways().get(0).await("started", "caller_port");
        caller = new RawConnection(Integer.parseInt(port));
    }

    @AfterEach
    void stop() {
        caller.close();
        deployment.close();
    }

    private void configureWorkspaces(String quotaOfCrew) throws InterruptedException {
        String tenants =
                "[{\"name\":\"crew\",\"api_keys\":[\"key-7f3a\"]%s},".formatted(quotaOfCrew)
                        + "{\"name\":\"yard\",\"api_keys\":[\"KEY-7F3A\"]}]";
        deployment
                .store()
                .put(
                        "op",
                        "config",
                        SampleDeployment.configurationWithTenants(CONFIGURATION_VERSION, tenants));
        TestClient.await(
                () -> deployment.allLogged("event=configuration version=" + CONFIGURATION_VERSION));
    }

    private String nextRequestId() {
        return "verbatim-" + ++requestCount;
    }

    /** Sends reads with the fields given, each before the answer to the one before it. */
    private List<String> sendAhead(List<List<String>> fields) {
        List<String> requestIds = new ArrayList<>();
        StringBuilder requests = new StringBuilder();
        for (List<String> fieldsOfRequest : fields) {
            String requestId = nextRequestId();
            requestIds.add(requestId);
            requests.append(RawConnection.format("GET /read/x", requestId, fieldsOfRequest));
        }
        caller.write(requests.toString());
        return requestIds;
    }

    private List<Integer> readStatuses(int count) {
        List<Integer> statuses = new ArrayList<>();
        for (int answer = 0; answer < count; answer++) {
            statuses.add(caller.read().status());
        }
        return statuses;
    }

    @Test
    void aKeyIsThatOfItsOwnWorkspace() throws Exception {
        configureWorkspaces("");
        for (String method : List.of("GET /read/x", "POST /write/x")) {
            String length = "Content-Length: 0";
            String crewId = nextRequestId();
            String yardId = nextRequestId();
            String unknownId = nextRequestId();
            assertEquals(200, caller.send(method, crewId, "", length, CREW_KEY));
            assertEquals(200, caller.send(method, yardId, "", length, YARD_KEY));
            assertEquals(401, caller.send(method, unknownId, "", length, UNKNOWN_KEY));
            assertEquals(List.of("crew"), received.values(crewId, TENANT));
            assertEquals(List.of("yard"), received.values(yardId, TENANT));
            assertEquals(0, deployment.runs(unknownId));
        }
    }

    @Test
    void aKeyOfARequestSentAheadIsThatOfItsOwnWorkspace() throws Exception {
        configureWorkspaces("");
        List<String> requestIds =
                sendAhead(
                        List.of(
                                List.of(HOST, CREW_KEY),
                                List.of(HOST, YARD_KEY),
                                List.of(HOST, UNKNOWN_KEY),
                                List.of(HOST, CREW_KEY)));
        assertEquals(List.of(200, 200, 401, 200), readStatuses(requestIds.size()));
        assertEquals(
                List.of(List.of("crew"), List.of("yard"), List.of(), List.of("crew")),
                requestIds.stream().map(requestId -> received.values(requestId, TENANT)).toList());
        assertEquals(
                List.of(1, 1, 0, 1),
                requestIds.stream().map(requestId -> deployment.runs(requestId)).toList());
    }

    @Test
    void aQuotaIsThatOfTheRequestsOwnWorkspace() throws Exception {
        configureWorkspaces(QUOTA_OF_CREW);
        assertEquals(429, caller.get("/read/x", nextRequestId(), CREW_KEY));
        assertEquals(200, caller.get("/read/x", nextRequestId(), YARD_KEY));
        assertEquals(429, caller.get("/read/x", nextRequestId(), CREW_KEY));
        List<String> requestIds =
                sendAhead(
                        List.of(
                                List.of(HOST, YARD_KEY),
                                List.of(HOST, CREW_KEY),
                                List.of(HOST, YARD_KEY)));
        assertEquals(List.of(200, 429, 200), readStatuses(requestIds.size()));
    }

    /** A request whose early and later reading differ is run twice. */
    @Test
    void readsSentAheadRunOnceAndReachTheServerAsSent() {
        List<List<String>> fields =
                List.of(
                        List.of("Host: localhost", "Accept: text/x-a", "Cookie: session=a"),
                        List.of("Host: LOCALHOST", "Accept: Text/X-A", "Cookie: session=A"),
                        List.of("Host: LocalHost:80", "Accept: text/x-A", "Cookie: Session=A"),
                        List.of("Host: localhost", "Accept: text/x-a", "Cookie: session=a"));
        assertEquals(200, caller.get("/read/x", nextRequestId(), "Cookie: SESSION=A"));
        List<String> requestIds = sendAhead(fields);
        assertEquals(List.of(200, 200, 200, 200), readStatuses(fields.size()));
        for (int request = 0; request < fields.size(); request++) {
            String requestId = requestIds.get(request);
            assertEquals(1, deployment.runs(requestId), requestId);
            List<String> sent = new ArrayList<>();
            for (String name : List.of("Host", "Accept", "Cookie")) {
                received.values(requestId, name).forEach(value -> sent.add(name + ": " + value));
            }
            assertEquals(fields.get(request), sent);
        }
    }

    @Test
    void aRouteIsThatOfTheRequestsOwnHost() {
        List<List<String>> fields =
                List.of(
                        List.of("Host: localhost"),
                        List.of("Host: LOCALHOST.other"),
                        List.of("Host: LOCALHOST:80"),
                        List.of("Host: Other"));
        List<Integer> statuses = List.of(200, 404, 200, 404);
        for (int request = 0; request < fields.size(); request++) {
            sendAhead(List.of(fields.get(request)));
            assertEquals(statuses.get(request), caller.read().status());
        }
        sendAhead(fields);
        assertEquals(statuses, readStatuses(fields.size()));
    }

    @Test
    void answersReachTheCallerAsSent() {
        List<List<Header>> headers =
                List.of(
                        List.of(
                                new Header("Cache-Control", "no-cache"),
                                new Header("Content-Type", "application/json"),
                                new Header("Set-Cookie", "session=a")),
                        List.of(
                                new Header("Cache-Control", "No-Cache"),
                                new Header("Content-Type", "Application/JSON"),
                                new Header("Set-Cookie", "session=A")));
        for (int answer = 0; answer < 4; answer++) {
            List<Header> sent = headers.get(answer % 2);
            deployment.server(0).setAdditionalHeaders(sent.toArray(Header[]::new));
            caller.write(RawConnection.format("GET /read/x", nextRequestId(), List.of(HOST)));
            List<String> fields = caller.read().fields();
            for (Header header : sent) {
                String field = header.name() + ": " + header.value();
                assertTrue(fields.contains(field), fields.toString());
            }
        }
    }
}
