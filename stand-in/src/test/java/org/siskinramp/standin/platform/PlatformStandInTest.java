package org.siskinramp.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinramp.standin.ManualTime;
import org.siskinramp.standin.TestClient;

final class PlatformStandInTest {

    private static final String INSERT =
            "{\"writes\":[{\"table\":\"t\",\"key\":\"%s\",\"value\":\"v\",\"expected_version\":0}]}";

    private final ManualTime time = new ManualTime();
    private PlatformStandIn platform;
    private TestClient client;

    @BeforeEach
    void start() {
        platform =
                PlatformStandIn.start(
                        new PlatformSettings("127.0.0.1:0", 0, 0, 500, 3, 0, List.of()),
                        time,
                        time);
        client = new TestClient(platform.address());
    }

    @AfterEach
    void stop() {
        platform.close();
    }

    @Test
    void transactionWithAFailedConditionHasNoEffect() {
        assertEquals("{\"versions\":[1]}", insert("a").body());
        String both =
                "{\"writes\":[{\"table\":\"t\",\"key\":\"b\",\"value\":\"v\",\"expected_version\":0},"
                        + "{\"table\":\"t\",\"key\":\"a\",\"value\":\"w\",\"expected_version\":0}]}";
        assertEquals("{\"failed\":[1]}", client.post("/v1/transactions", both).body());
        assertEquals(
                "{\"rows\":[{\"table\":\"t\",\"key\":\"a\",\"version\":1,\"value\":\"v\"}]}",
                client.get("/v1/tables/t").body());
    }

    @Test
    void scanReturnsRowsByPrefixStartAndLimit() {
        insert("x/1");
        insert("x/2");
        insert("y/1");
        assertEquals(
                "{\"rows\":[{\"table\":\"t\",\"key\":\"x/2\",\"version\":1,\"value\":\"v\"}]}",
                client.get("/v1/tables/t?prefix=x/&after=x/1&limit=5").body());
        assertEquals(400, client.get("/v1/tables/t?limit=0").statusCode());
    }

    @Test
    void writeWithALostAnswerTakesEffect() {
        client.post("/-/faults", "{\"lose_answers\":1}");
        assertThrows(CompletionException.class, () -> insert("a"));
        assertEquals(409, insert("a").statusCode());
    }

    @Test
    void outageRefusesWithoutEffect() {
        client.post("/-/faults", "{\"outage\":true}");
        assertEquals(503, insert("a").statusCode());
        client.post("/-/faults", "{\"outage\":false}");
        assertEquals(200, insert("a").statusCode());
    }

    @Test
    void writesBeyondTheRateLimitAreRefusedUntilTheNextSecond() {
        insert("a");
        insert("b");
        insert("c");
        assertEquals(503, insert("d").statusCode());
        time.advance(1000);
        assertEquals(200, insert("d").statusCode());
    }

    @Test
    void objectNameMayHoldSlashesAndPluses() {
        assertEquals(204, client.send("PUT", "/v1/objects/a%2Fb+c", "content").join().statusCode());
        assertEquals("content", client.get("/v1/objects/a%2Fb+c").body());
        assertEquals("{\"names\":[\"a/b+c\"]}", client.get("/v1/objects?prefix=a").body());
        assertEquals(404, client.get("/v1/objects/none").statusCode());
    }

    @Test
    void hostListChangesAfterADelay() {
        String host =
                "{\"name\":\"h\",\"availability_zone\":\"z\",\"peer_address\":\"127.0.0.1:1\","
                        + "\"leaving\":false}";
        client.send("PUT", "/v1/hosts/h", host).join();
        assertEquals("{\"hosts\":[]}", client.get("/v1/hosts").body());
        time.advance(500);
        assertEquals("{\"hosts\":[" + host + "]}", client.get("/v1/hosts").body());
    }

    @Test
    void malformedTransactionIsRefused() {
        assertEquals(400, client.post("/v1/transactions", "{\"writes\":[{}]}").statusCode());
        assertEquals(400, client.post("/v1/transactions", "nonsense").statusCode());
    }

    private java.net.http.HttpResponse<String> insert(String key) {
        return client.post("/v1/transactions", INSERT.formatted(key));
    }
}
