package org.siskinramp.standin.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs gateways as processes, injects random faults from outside, and compares the answers to
 * callers with what backend servers ran.
 *
 * <pre>{@code
 * mvn -B verify -pl stand-in -am -Dtest=GatewaySoakTest -Dsurefire.failIfNoSpecifiedTests=false
 *     -Dsiskinramp.soak.seeds=1..50 -Dsiskinramp.soak.ms=12000
 * }</pre>
 */
class GatewaySoakTest {

    /** Seeds that failed once, run each time; docs/FINDINGS.md has the cause of each. */
    private static final long[] REGRESSIONS = {};

    private static final int CALLERS = 6;
    private static final long PAUSE_BETWEEN_REQUESTS_MILLISECONDS = 60;
    private static final int FAULT_FREE_REQUESTS = 40;
    private static final int OK = 200;

    /** Requirement of the operators: the time within which a restarted deployment serves again. */
    private static final long RECOVERY_SECONDS = 15;

    /** Requirement of the operators for the evacuation of an availability zone, rounded up. */
    private static final long EVACUATION_MILLISECONDS = 5_000;

    /** Requirement of the operators for a configuration, plus a margin for a busy machine. */
    private static final long CONFIGURATION_MILLISECONDS = 2_000 + 1_000;

    static LongStream seeds() {
        String range = System.getProperty("siskinramp.soak.seeds", "1..1");
        String[] rangeEnds = range.split("\\.\\.", 2);
        LongStream requestedSeeds =
                LongStream.rangeClosed(
                        Long.parseLong(rangeEnds[0]),
                        Long.parseLong(rangeEnds[rangeEnds.length - 1]));
        return LongStream.concat(requestedSeeds, LongStream.of(REGRESSIONS)).distinct();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void keepsItsGuaranteesUnderRandomFaults(long seed) throws Exception {
        Path directory = Path.of("target", "soak", seed + "-" + System.currentTimeMillis());
        Files.createDirectories(directory);
        try (SoakDeployment deployment = new SoakDeployment(directory.toAbsolutePath())) {
            SoakCallers callers = new SoakCallers(deployment);
            SoakFaults faults = new SoakFaults(deployment, seed);
            awaitServing(callers, "at the start");
            callers.start(CALLERS, PAUSE_BETWEEN_REQUESTS_MILLISECONDS);
            faults.injectFor(Long.getLong("siskinramp.soak.ms", 8_000));
            deployment.clearFaults();
            callers.stop();
            String report = "seed " + seed + " in " + directory + ": " + faults.history();
            assertEquals(List.of(), callers.violations(deployment.runs()), report);
            awaitServing(callers, report);
            checkWithoutFaults(deployment, callers, report);
            assertEquals(List.of(), callers.violations(deployment.runs()), report);
            assertTrue(callers.answered() > FAULT_FREE_REQUESTS, report);
        }
    }

    /** Waits until each host answers a read, at most for the time of a recovery. */
    private static void awaitServing(SoakCallers callers, String report) {
        for (int host = 0; host < SoakDeployment.HOSTS; host++) {
            int hostNumber = host;
            Waiting.until(
                    RECOVERY_SECONDS,
                    () -> "host " + hostNumber + " serves; " + report,
                    () -> callers.sendOnNewConnection(hostNumber, false) == OK);
        }
    }

    private static void checkWithoutFaults(
            SoakDeployment deployment, SoakCallers callers, String report) {
        deployment.configure("/calm/");
        Waiting.milliseconds(CONFIGURATION_MILLISECONDS);
        for (int host = 0; host < SoakDeployment.HOSTS; host++) {
            assertEquals(
                    OK, callers.readOnNewConnection(host, "/calm/"), "host " + host + " " + report);
        }
        deployment.evacuate(0);
        Waiting.milliseconds(EVACUATION_MILLISECONDS);
        int runsBefore = deployment.runsInZone(0);
        for (int request = 0; request < FAULT_FREE_REQUESTS; request++) {
            int host = request % SoakDeployment.HOSTS;
            assertEquals(OK, callers.sendOnNewConnection(host, request % 8 < 4), report);
        }
        assertEquals(runsBefore, deployment.runsInZone(0), "runs in an evacuated zone; " + report);
    }
}
