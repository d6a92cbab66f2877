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
 * Runs gateways as processes under random faults from outside, and checks what callers were told
 * against what backend servers ran.
 *
 * <pre>{@code
 * mvn -B verify -pl stand-in -am -Dtest=GatewaySoakTest -Dsurefire.failIfNoSpecifiedTests=false
 *     -Dsiskinramp.soak.seeds=1..50 -Dsiskinramp.soak.ms=12000
 * }</pre>
 */
class GatewaySoakTest {

    /** Seeds that failed once, each with its cause in docs/FINDINGS.md. */
    private static final long[] REGRESSIONS = {};

    private static final int CALLERS = 6;
    private static final long PAUSE_MILLISECONDS = 60;
    private static final int CALM_REQUESTS = 40;
    private static final int OK = 200;

    /** The bound of the operators for a restarted deployment to serve again. */
    private static final long RECOVERY_SECONDS = 15;

    /** The bound of the operators for an evacuation, rounded up. */
    private static final long EVACUATION_MILLISECONDS = 5_000;

    /** The bound of the operators for a configuration, and the noise of a busy machine. */
    private static final long CONFIGURATION_MILLISECONDS = 2_000 + 1_000;

    static LongStream seeds() {
        String range = System.getProperty("siskinramp.soak.seeds", "1..1");
        String[] ends = range.split("\\.\\.", 2);
        LongStream asked =
                LongStream.rangeClosed(
                        Long.parseLong(ends[0]), Long.parseLong(ends[ends.length - 1]));
        return LongStream.concat(asked, LongStream.of(REGRESSIONS)).distinct();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void keepsItsPromisesUnderRandomFaults(long seed) throws Exception {
        Path directory = Path.of("target", "soak", seed + "-" + System.currentTimeMillis());
        Files.createDirectories(directory);
        try (SoakWorld world = new SoakWorld(directory.toAbsolutePath())) {
            SoakCallers callers = new SoakCallers(world);
            SoakFaults faults = new SoakFaults(world, seed);
            awaitServing(callers, "at the start");
            callers.start(CALLERS, PAUSE_MILLISECONDS);
            faults.play(Long.getLong("siskinramp.soak.ms", 8_000));
            world.heal();
            callers.stop();
            String report = "seed " + seed + " in " + directory + ": " + faults.story();
            assertEquals(List.of(), callers.brokenPromises(world.runs()), report);
            awaitServing(callers, report);
            checkCalm(world, callers, report);
            assertEquals(List.of(), callers.brokenPromises(world.runs()), report);
            assertTrue(callers.answered() > CALM_REQUESTS, report);
        }
    }

    /** All hosts serve reads and writes within the time for a recovery. */
    private static void awaitServing(SoakCallers callers, String report) {
        for (int host = 0; host < SoakWorld.HOSTS; host++) {
            int asked = host;
            Waiting.until(
                    RECOVERY_SECONDS,
                    () -> "host " + asked + " serves; " + report,
                    () -> callers.sendAlone(asked, false) == OK);
        }
    }

    private static void checkCalm(SoakWorld world, SoakCallers callers, String report) {
        world.configure("/calm/");
        Waiting.milliseconds(CONFIGURATION_MILLISECONDS);
        for (int host = 0; host < SoakWorld.HOSTS; host++) {
            assertEquals(OK, callers.readAlone(host, "/calm/"), "host " + host + " " + report);
        }
        world.evacuate(0);
        Waiting.milliseconds(EVACUATION_MILLISECONDS);
        int before = world.runsInZone(0);
        for (int request = 0; request < CALM_REQUESTS; request++) {
            int host = request % SoakWorld.HOSTS;
            assertEquals(OK, callers.sendAlone(host, request % 8 < 4), report);
        }
        assertEquals(before, world.runsInZone(0), "runs in an evacuated zone; " + report);
    }
}
