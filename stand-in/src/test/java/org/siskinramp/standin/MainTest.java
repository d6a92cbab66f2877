package org.siskinramp.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

final class MainTest {

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final Main main =
            new Main(
                    new PrintStream(output, true, StandardCharsets.UTF_8),
                    new PrintStream(output, true, StandardCharsets.UTF_8));

    @Test
    void helpListsTheCommandsAndTheirOptions() {
        assertEquals(0, main.run("--help"));
        assertTrue(text().contains("fault-proxy"));
        assertEquals(0, main.run("platform", "--help"));
        assertTrue(text().contains("--write-delay-ms"));
    }

    @Test
    void wrongCommandLineIsRefusedWithItsResultCode() {
        assertEquals(2, main.run("nothing"));
        assertEquals(2, main.run("platform", "--address", "10.1.1.1:0"));
        assertEquals(2, main.run());
        assertEquals(3, text().lines().filter(line -> line.contains("result_code=502")).count());
    }

    @Test
    void heartbeatsOfSixteenMembersWithoutChangesTakeLessThanTwoKilobytesPerSecond() {
        assertEquals(0, main.run("slopes", "--part", "heartbeat"));
        assertTrue(
                text().contains(
                                "part=heartbeat judged_cold_servers=0 spares=0 members=16"
                                        + " frame_bytes=56 bytes_per_second=1680"));
        assertEquals(2, main.run("slopes", "--part", "nothing"));
    }

    private String text() {
        return output.toString(StandardCharsets.UTF_8);
    }
}
