package org.siskinramp.standin.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.siskinramp.standin.TestClient;
import org.siskinramp.standin.cluster.DepartedCallers.Departure;

/** Callers leave before they are answered; servers must not go on working for them. */
class DepartedCallerProcessTest {

    private static final int SERVERS = 12;
    private static final long SERVICE_TIME_MILLISECONDS = 1_100;
    private static final long REQUEST_INTERVAL_MILLISECONDS = 50;
    private static final int CALLERS = 40;

    /** Requests reach a server and departures are noticed within this time in calm. */
    private static final long SETTLE_MILLISECONDS = 2_500;

    @TempDir private Path directory;

    private final DepartedCallers callers = new DepartedCallers();
    private GatewayDeployment deployment;
    private int port;

    @BeforeEach
    void start() throws Exception {
        deployment =
                new GatewayDeployment(
                        directory,
                        SERVERS,
                        SERVICE_TIME_MILLISECONDS,
                        REQUEST_INTERVAL_MILLISECONDS);
        deployment.servers().forEach(server -> server.setRunListener(callers));
        deployment.startGateways(1);
        port = Integer.parseInt(deployment.gateways().get(0).await("started", "caller_port"));
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    /** The request and the close are both unread when the host runs again. */
    @Test
    void aHostThatStoodStillSendsNoRequestOfCallersThatLeftMeanwhile() throws Exception {
        ProgramProcess gateway = deployment.gateways().get(0);
        gateway.pause();
        List<Socket> sockets = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            sockets.add(DepartedCallers.send(port, "departed-" + caller));
        }
        for (int caller = 0; caller < CALLERS; caller++) {
            Departure departure = caller % 2 == 0 ? Departure.CLOSE : Departure.RESET;
            callers.leave(sockets.get(caller), "departed-" + caller, departure);
        }
        Thread.sleep(900);
        gateway.resume();
        Thread.sleep(SETTLE_MILLISECONDS);
        assertEquals(CALLERS, callers.departedCount());
        assertEquals(0, callers.startedLate(), "reached a server late, of " + CALLERS);
    }

    /** Bytes behind the request must not end the watch for the close. */
    @Test
    void aCallerThatSendsAheadAndLeavesOccupiesNoServer() throws Exception {
        String ahead = DepartedCallers.read("next", "X-Padding: " + "x".repeat(1_500));
        for (int caller = 0; caller < CALLERS; caller++) {
            String requestId = "departed-" + caller;
            try (Socket socket = DepartedCallers.send(port, requestId)) {
                TestClient.await(() -> callers.hasStarted(requestId));
                DepartedCallers.write(socket, ahead);
                Thread.sleep(20);
                callers.leave(socket, requestId, Departure.CLOSE);
            }
        }
        Thread.sleep(SETTLE_MILLISECONDS);
        assertEquals(CALLERS, callers.departedCount());
        assertTrue(
                callers.endedLate() <= CALLERS / 4,
                callers.endedLate() + " of " + CALLERS + " still occupied a server");
    }
}
