package org.siskinramp.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.siskinramp.request.Answer;

/**
 * Several hosts send a burst of requests to backend servers that reset connections when full. The
 * hosts must not go on filling the servers to the point at which they reset, and must not take full
 * servers for crashed ones.
 */
class FullServerResetTest {

    private static final int HOSTS = 4;
    private static final int SERVERS = 8;
    private static final int SLOTS = 6;
    private static final int SERVICE_TIME_MILLISECONDS = 100;
    private static final long TICK_MILLISECONDS = 200;
    private static final long BURST_MILLISECONDS = 4_000;

    private final GatewaySimulation simulation = new GatewaySimulation(HOSTS);
    private final List<CompletableFuture<Answer>> answers = new ArrayList<>();
    private int sent;

    private void addServers(int resetCapacity) {
        for (int number = 0; number < SERVERS; number++) {
            simulation
                    .addServer("server-" + number, SLOTS, SERVICE_TIME_MILLISECONDS)
                    .withResetCapacity(resetCapacity);
        }
    }

    /** Sends requests at a rate through all hosts in turn; half of them have the same content. */
    private void sendFor(long milliseconds, int requestsPerSecond) {
        double due = 0;
        for (long elapsed = 0; elapsed < milliseconds; elapsed++) {
            for (due += requestsPerSecond / 1_000.0; due >= 1; due--) {
                Gateway gateway = simulation.gateways().get(sent % HOSTS);
                String content = sent / HOSTS % 2 == 0 ? "popular" : "content-" + sent;
                answers.add(simulation.send(gateway, content));
                sent++;
            }
            simulation.time().advance(1);
            if (elapsed % TICK_MILLISECONDS == 0) {
                simulation.gateways().forEach(Gateway::tick);
            }
        }
    }

    private long count(String prefix, String part) {
        return simulation.events().stream()
                .filter(line -> line.startsWith("event=" + prefix + " ") && line.contains(part))
                .count();
    }

    private int resets() {
        return simulation.servers().all().stream()
                .mapToInt(SimulatedServers.SimulatedServer::resets)
                .sum();
    }

    private String summary() {
        long served = answers.stream().filter(answer -> !answer.isCompletedExceptionally()).count();
        return "sent="
                + sent
                + " served="
                + served
                + " refused="
                + count("request_refused", "")
                + " failed="
                + count("request_failed", "")
                + " resets="
                + resets()
                + " retries="
                + count("repeat", "allowed=true")
                + " retries_denied="
                + count("repeat", "allowed=false")
                + " crashes="
                + count("crash", "");
    }

    /** Before the limit was learned, between 5 and 20 in 100 requests of these bursts failed. */
    @ParameterizedTest
    @CsvSource({"4, 100", "5, 100", "6, 100", "4, 130", "6, 130"})
    void aBurstBeyondTheCapacityIsRefusedRatherThanFailed(int resetCapacity, int percent) {
        addServers(resetCapacity);
        sendBurst(resetCapacity, percent);
        assertTrue(count("reset_limit", "reason=reset") > 0, summary());
        assertTrue(count("request_failed", "") <= 0.05 * sent, summary());
        assertTrue(resets() <= 0.07 * sent, summary());
        assertEquals(0, count("repeat", "allowed=false"), summary());
        assertEquals(0, count("crash", "") + count("quarantined", ""), summary());
    }

    /** A limit that falls after each reset would refuse requests that the servers could serve. */
    @ParameterizedTest
    @CsvSource({"4, 80", "5, 80", "6, 80"})
    void aBurstWithinTheCapacityIsServed(int resetCapacity, int percent) {
        addServers(resetCapacity);
        sendBurst(resetCapacity, percent);
        assertEquals(0, count("request_refused", ""), summary());
        assertTrue(count("request_failed", "") <= 0.01 * sent, summary());
    }

    /** Without the rise, a service would stay below its capacity after one burst. */
    @Test
    void theLimitEndsWhenServersResetNoLonger() {
        addServers(5);
        sendBurst(5, 130);
        simulation.servers().all().forEach(server -> server.withResetCapacity(Integer.MAX_VALUE));
        sendFor(60_000, 50);
        assertTrue(count("reset_limit", "reason=reset") > 0, summary());
        assertEquals(HOSTS, count("reset_limit", "limit=none"), summary());
    }

    /** A server that loses answers must not pass for a full one, which would get requests again. */
    @Test
    void aServerThatLosesAnswersIsStillAvoided() {
        addServers(Integer.MAX_VALUE);
        sendFor(2_000, 150);
        SimulatedServers.SimulatedServer faulty = simulation.servers().server("server-0");
        faulty.withBehaviour(SimulatedServers.Behaviour.LOSE_ANSWERS);
        sendFor(2_000, 350);
        long from = simulation.time().monotonicMilliseconds();
        sendFor(4_000, 350);
        assertEquals(0, count("reset_limit", ""), summary());
        int usual = simulation.servers().server("server-1").arrivalsAfter(from);
        assertTrue(
                faulty.arrivalsAfter(from) < usual / 4, "arrivals " + faulty.arrivalsAfter(from));
    }

    private void sendBurst(int resetCapacity, int percent) {
        sendFor(2_000, 150);
        sendFor(BURST_MILLISECONDS, resetCapacity * SERVERS * percent / 10);
        sendFor(2_000, 150);
    }
}
