package org.siskinramp.standin.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.siskinramp.request.Header;
import org.siskinramp.standin.TestClient;
import org.siskinramp.standin.upstream.SampleDeployment;
import org.siskinramp.standin.upstream.UpstreamStandIn;

/**
 * Runs gateways as processes whose callers need keys. Two of the gateways read the store, the third
 * subscribes to one of them.
 */
class WorkspaceProcessTest {

    private static final int HOSTS = 3;
    private static final int READERS = 2;
    private static final long APPLY_MILLISECONDS = 2_500;

    private static final String CREW_KEY = "key-7f3a-crew";
    private static final String CREW_LATER_KEY = "key-91c0-crew-later";
    private static final String YARD_KEY = "key-55d2-yard";
    private static final String UNKNOWN_KEY = "key-e6b8-unknown";
    private static final String CREW = "{\"name\":\"crew\",\"api_keys\":[\"%s\"]}";
    private static final String YARD = "{\"name\":\"yard\",\"api_keys\":[\"%s\"]}";
    private static final String TENANT = "X-Siskinramp-Tenant";
    private static final String TARGET = "/read/x";

    @TempDir private Path directory;

    private final ReceivedFields receivedFields = new ReceivedFields();
    private final List<RawConnection> connections = new ArrayList<>();
    private GatewayDeployment deployment;
    private int configurationVersion = 1;
    private int requestCount;

    @BeforeEach
    void start() throws Exception {
        deployment = new GatewayDeployment(directory, 2, 5, 40);
        for (UpstreamStandIn server : deployment.servers()) {
            server.setRunListener(receivedFields);
        }
        deployment.startGateways(HOSTS);
        deployment.awaitHostsCounted();
        TestClient.await(
                () ->
                        deployment.gateways().stream()
                                        .filter(host -> host.output().contains("event=feed_source"))
                                        .count()
                                >= HOSTS - READERS);
        receivedFields.clear();
        for (ProgramProcess gateway : deployment.gateways()) {
            int port = Integer.parseInt(gateway.await("started", "caller_port"));
            connections.add(new RawConnection(port));
        }
        configure(CREW.formatted(CREW_KEY), YARD.formatted(YARD_KEY));
    }

    @AfterEach
    void stop() {
        connections.forEach(RawConnection::close);
        deployment.close();
    }

    private void configure(String... tenants) throws InterruptedException {
        configurationVersion++;
        deployment
                .store()
                .put(
                        "op",
                        "config",
                        SampleDeployment.configurationWithTenants(
                                configurationVersion, "[" + String.join(",", tenants) + "]"));
        Thread.sleep(APPLY_MILLISECONDS);
    }

    private static String bearing(String key) {
        return "Authorization: Bearer " + key;
    }

    private String nextRequestId() {
        return "request-" + ++requestCount;
    }

    /** Sends a read through each gateway; returns the statuses. */
    private List<Integer> statuses(String path, String... fields) {
        return connections.stream()
                .map(connection -> connection.get(path, nextRequestId(), fields))
                .toList();
    }

    private static List<Integer> all(int status) {
        return Collections.nCopies(HOSTS, status);
    }

    /** Fails if a server got a key, or a workspace's name other than once. */
    private void assertServerGot(String requestId, List<String> workspaceNames) {
        List<Header> fields = receivedFields.of(requestId);
        List<String> names =
                fields.stream()
                        .filter(field -> field.name().replace('_', '-').equalsIgnoreCase(TENANT))
                        .map(Header::value)
                        .toList();
        assertEquals(workspaceNames, names, fields.toString());
        assertTrue(
                fields.stream().noneMatch(field -> field.value().contains("key-")),
                fields.toString());
        assertTrue(
                fields.stream().noneMatch(field -> field.value().contains("forged")),
                fields.toString());
    }

    private void assertNoKeyLogged() {
        for (ProgramProcess gateway : deployment.gateways()) {
            for (String key : List.of(CREW_KEY, CREW_LATER_KEY, YARD_KEY, UNKNOWN_KEY)) {
                assertFalse(gateway.output().contains(key), key);
            }
        }
    }

    /** Guards against a key, or a name of the caller's choice, that reaches a server. */
    @Test
    void serversGetTheNameOfTheWorkspaceAndNeitherTheKeyNorAForgedName() {
        List<List<String>> forgeries =
                List.of(
                        List.of(),
                        List.of("X-Siskinramp-Tenant: forged"),
                        List.of("x-siskinramp-TENANT: forged"),
                        List.of("X_Siskinramp_Tenant: forged"),
                        List.of("X-Siskinramp_Tenant: forged", "x_siskinramp-tenant: forged"),
                        List.of("X-Siskinramp-Tenant: forged", "X-Siskinramp-Tenant: forged-2"),
                        List.of("Connection: X-Siskinramp-Tenant", "X-Siskinramp-Tenant: forged"));
        for (List<String> forgery : forgeries) {
            List<String> fields = new ArrayList<>(forgery);
            fields.add("authorization: bearer " + CREW_KEY);
            String requestId = nextRequestId();
            assertEquals(
                    200,
                    connections.get(0).get(TARGET, requestId, fields.toArray(String[]::new)),
                    forgery.toString());
            assertServerGot(requestId, List.of("crew"));
        }
        String log = deployment.gateways().get(0).output();
        assertTrue(log.lines().anyMatch(line -> line.endsWith(" workspace=crew")), log);
        assertNoKeyLogged();
    }

    /** Guards against a forged name or a key that reaches a server behind a chunked body. */
    @Test
    void serversGetNoForgedNameInATrailer() {
        String requestId = nextRequestId();
        int status =
                connections
                        .get(0)
                        .send(
                                "POST /write/x",
                                requestId,
                                "4\nbody\n0\nX-Siskinramp-Tenant: forged\n"
                                        + bearing(YARD_KEY)
                                        + "\n\n",
                                "Transfer-Encoding: chunked",
                                "Trailer: X-Siskinramp-Tenant, Authorization",
                                bearing(CREW_KEY));
        assertEquals(200, status);
        assertServerGot(requestId, List.of("crew"));
        assertNoKeyLogged();
    }

    /** Guards against requests that are served without a key of the configuration. */
    @Test
    void requestsWithoutAKnownKeyAreRefused() {
        assertEquals(all(401), statuses(TARGET));
        assertEquals(all(401), statuses(TARGET, bearing(UNKNOWN_KEY)));
        assertEquals(all(401), statuses(TARGET, "Authorization: Basic " + CREW_KEY));
        assertEquals(all(401), statuses(TARGET, "Authorization: Bearer "));
        assertEquals(all(400), statuses(TARGET, bearing(CREW_KEY), bearing(UNKNOWN_KEY)));
        assertEquals(Set.of(), receivedFields.requestIds());
        assertNoKeyLogged();
    }

    /** Guards against a key or a workspace's name that reaches a server on a public route. */
    @Test
    void aPublicRouteNeedsNoKeyAndNamesNoWorkspace() {
        assertEquals(all(200), statuses("/open/x"));
        for (String key : List.of(CREW_KEY, UNKNOWN_KEY)) {
            String requestId = nextRequestId();
            int status =
                    connections.get(0).get("/open/x", requestId, bearing(key), TENANT + ": forged");
            assertEquals(200, status);
            assertServerGot(requestId, List.of());
        }
        assertNoKeyLogged();
    }

    /** Guards against connections that keep the keys with which they were opened. */
    @Test
    void aNewConfigurationAppliesOnKeptConnections() throws Exception {
        assertEquals(all(200), statuses(TARGET, bearing(CREW_KEY)));
        assertEquals(all(401), statuses(TARGET, bearing(CREW_LATER_KEY)));
        configure(CREW.formatted(CREW_LATER_KEY), YARD.formatted(YARD_KEY));
        assertEquals(all(401), statuses(TARGET, bearing(CREW_KEY)));
        assertEquals(all(200), statuses(TARGET, bearing(CREW_LATER_KEY)));
        assertEquals(all(200), statuses(TARGET, bearing(YARD_KEY)));
        assertNoKeyLogged();
    }

    /** Guards against an error message that quotes the key which makes a configuration invalid. */
    @Test
    void anInvalidConfigurationIsIgnoredAndItsKeysAreNotLogged() throws Exception {
        configure(CREW.formatted(CREW_LATER_KEY), YARD.formatted(CREW_LATER_KEY));
        assertTrue(
                deployment.gateways().stream()
                        .anyMatch(host -> host.output().contains("event=configuration_ignored")));
        assertEquals(all(200), statuses(TARGET, bearing(CREW_KEY)));
        assertEquals(all(401), statuses(TARGET, bearing(CREW_LATER_KEY)));
        assertNoKeyLogged();
    }
}
