package org.siskinramp.daemon.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

final class SettingsFileTest {

    private static final String MINIMAL =
            """
            [host]
            name = "entry-1"
            availability_zone = "almaty-1"
            [caller_side]
            address = "10.0.0.1:8080"
            [peer_link]
            address = "10.0.0.1:7001"
            [administration]
            address = "[::1]:9000"
            token_file = "token"
            [platform]
            address = "http://10.0.9.9:7000"
            """;

    @TempDir private Path directory;

    @BeforeEach
    void writeToken() throws IOException {
        Files.writeString(directory.resolve("token"), "abcdefghijklmnop");
    }

    @Test
    void routingPolicyIsChosenByItsName() throws IOException {
        assertEquals(RoutingPolicy.SLOTS, check(MINIMAL).settings().routing().policy());
        String chosen = MINIMAL + "[routing]\npolicy = \"slots-without-lending\"\n";
        assertEquals(
                RoutingPolicy.SLOTS_WITHOUT_LENDING, check(chosen).settings().routing().policy());
        String wrong = MINIMAL + "[routing]\npolicy = \"fastest\"\n";
        assertEquals("routing.policy", check(wrong).errors().get(0).key());
    }

    @Test
    void requiredKeysAreEnoughAndTheOthersHaveDefaults() throws IOException {
        Settings settings = check(MINIMAL).settings();

        assertEquals(new Settings.Host("entry-1", "almaty-1"), settings.host());
        assertEquals(
                new Settings.CallerSide(
                        new InetSocketAddress(
                                InetAddress.getByAddress(new byte[] {10, 0, 0, 1}), 8080),
                        16_384,
                        1_048_576,
                        8_388_608,
                        30_000,
                        2_000,
                        2_000),
                settings.callerSide());
        assertEquals(
                new Settings.Platform(URI.create("http://10.0.9.9:7000"), 1_000),
                settings.platform());
        assertEquals(new Settings.Control(500, 2_000, 1_000, 1_000, 30_000), settings.control());
        assertEquals(directory.resolve("token"), settings.administration().tokenFile());
        assertEquals(new Settings.Workers(4), settings.workers());
        assertEquals(LogLevel.INFO, settings.log().level());
    }

    @Test
    void everyErrorIsReportedAtOnceWithKeyLineAndAllowedValues() throws IOException {
        SettingsReport<Settings> report =
                check(
                        """
                        hosts = 3
                        [host]
                        name = "entry 1"
                        [caller_side]
                        address = "localhost:8080"
                        body_limit_bytes = -1
                        idle_timeout_ms = "1s"
                        [peer_link]
                        address = "10.0.0.256:1"
                        [administration]
                        address = "10.0.0.1:65536"
                        token_file = "absent"
                        [platform]
                        address = "https://10.0.0.1:1"
                        [control]
                        lease_ms = 600
                        [log]
                        level = "loud"
                        """);

        assertEquals(
                List.of(
                        "0 host.availability_zone",
                        "1 hosts",
                        "3 host.name",
                        "5 caller_side.address",
                        "6 caller_side.body_limit_bytes",
                        "7 caller_side.idle_timeout_ms",
                        "9 peer_link.address",
                        "11 administration.address",
                        "12 administration.token_file",
                        "14 platform.address",
                        "16 control.lease_ms",
                        "18 log.level"),
                errorLocations(report));
        assertEquals("a whole number from 0 to 67108864", report.errors().get(4).allowed());
    }

    @Test
    void malformedTomlIsReportedByLineWithoutKeysThatOnlySeemToBeMissing() throws IOException {
        SettingsReport<Settings> report =
                check("[host\nname = \"a\"\n[log]\nlevl = 3\nlevel = = 3\n");

        assertEquals(List.of("1 -", "4 log.levl", "5 -"), errorLocations(report));
    }

    @Test
    void aValueInPlaceOfASectionIsAnError() throws IOException {
        SettingsReport<Settings> report = check("workers = 4\n" + MINIMAL);

        assertEquals(List.of("1 workers"), errorLocations(report));
    }

    @Test
    void anAbsentFileIsAnErrorWithTheCodeOfInvalidSettings() {
        SettingsReport<Settings> report = SettingsFile.check(directory.resolve("absent.toml"));

        ResultException failure = assertThrows(ResultException.class, report::settings);
        assertEquals(ResultCode.SETTINGS_INVALID, failure.code());
    }

    private SettingsReport<Settings> check(String text) throws IOException {
        return SettingsFile.check(Files.writeString(directory.resolve("settings.toml"), text));
    }

    private static List<String> errorLocations(SettingsReport<?> report) {
        return report.errors().stream().map(error -> error.line() + " " + error.key()).toList();
    }
}
