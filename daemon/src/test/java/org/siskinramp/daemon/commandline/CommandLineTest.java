package org.siskinramp.daemon.commandline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.siskinramp.daemon.administration.AdministrationServer;
import org.siskinramp.daemon.administration.AdministrationToken;
import org.siskinramp.daemon.administration.FakeAdministration;
import org.siskinramp.daemon.metrics.Metrics;

final class CommandLineTest {

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
    private final FakeAdministration administration = new FakeAdministration();
    private final CommandLine commandLine =
            new CommandLine(
                    settings -> ExitStatus.SUCCESS,
                    new PrintStream(output, true, StandardCharsets.UTF_8),
                    new PrintStream(errors, true, StandardCharsets.UTF_8));

    @TempDir private Path directory;
    private Path tokenFile;
    private AdministrationServer server;
    private int port;

    @BeforeEach
    void start() throws IOException {
        tokenFile = Files.writeString(directory.resolve("token"), "abcdefghijklmnop");
        server =
                new AdministrationServer(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        AdministrationToken.read(tokenFile),
                        administration,
                        administration,
                        new Metrics(),
                        event -> {});
        server.start();
        port = server.address().getPort();
    }

    @AfterEach
    void stop() throws IOException {
        server.stop();
    }

    @Test
    void ticketFilePrintsTheReceipt() throws IOException {
        Path ticket = Files.writeString(directory.resolve("ticket.json"), "{\"number\":7}");

        assertEquals(ExitStatus.SUCCESS, administer("ticket", "file", ticket.toString()));
        assertEquals(List.of("ticket {\"number\":7}"), administration.commands());
        assertEquals(
                "accepted code=102 ticket=7 configuration_version=12 repeated=false\n", output());
    }

    @Test
    void aRefusalExitsWithOneAndPrintsItsResultCode() throws IOException {
        Path ticket = Files.writeString(directory.resolve("ticket.json"), "stale");

        assertEquals(ExitStatus.FAILURE, administer("ticket", "file", ticket.toString()));
        assertTrue(errors().startsWith("error code=404 name=TICKET_STALE message="));
    }

    @Test
    void zonesAndHostsAreTakenOutOfServiceAndBroughtBack() {
        administer("availability-zone", "out", "almaty-1");
        administer("host", "in", "entry-1");

        assertEquals(
                List.of("availability zone almaty-1 OUT", "host entry-1 IN"),
                administration.commands());
        assertEquals(
                """
                accepted code=102 name=almaty-1 state=out configuration_version=13 repeated=true
                accepted code=102 name=entry-1 state=in configuration_version=13 repeated=true
                """,
                output());
    }

    @Test
    void ticketShowPrintsTheHostsWhereItIsInForce() {
        assertEquals(ExitStatus.SUCCESS, administer("ticket", "show", "7"));
        assertEquals(
                """
                ticket number=7 configuration_version=12 filed=1970-01-01T00:00:00Z
                in force on: entry-1
                not yet in force on: entry-2
                not known of: no host
                {"number": 7}
                """,
                output());
    }

    @Test
    void requestShowPrintsTextOrJson() {
        administer("request", "show", "crew/7", "a b");
        administer("request", "show", "--json", "crew/7", "a b");

        assertEquals(
                """
                request a b of crew/7 ran once: the outcome is stored
                attempts known: 1
                1970-01-01T00:00:00.005Z host=entry-1 event=answer
                {"caller":"crew/7","request_id":"a b","verdict":"RAN_ONCE","reason":"the outcome is\
                 stored","attempts":1,"events":[{"calendar_milliseconds":5,"host":"entry-1",\
                "description":"event=answer"}],"gaps":[]}
                """,
                output());
    }

    @Test
    void statusPrintsHostPeersAndServices() {
        administer("status");

        assertTrue(output().startsWith("host name=entry-1 availability_zone=almaty-1 "));
        assertTrue(output().contains("\npeer host=entry-2 heard_ago_ms=40 "));
        assertTrue(output().contains("\nservice name=dispatch held_slots=4 "));
    }

    @Test
    void aWrongCommandLineExitsWithTwo() {
        assertEquals(ExitStatus.USAGE, commandLine.run());
        assertEquals(ExitStatus.USAGE, commandLine.run("ticket", "burn"));
        assertEquals(ExitStatus.USAGE, commandLine.run("ticket", "show"));
        assertEquals(ExitStatus.USAGE, commandLine.run("status"));
        assertEquals(ExitStatus.USAGE, administer("ticket", "show", "seven"));
        assertTrue(errors().contains("error code=502 name=USAGE"));
    }

    @Test
    void helpIsPrintedAtEachLevel() {
        assertEquals(ExitStatus.SUCCESS, commandLine.run("--help"));
        assertEquals(ExitStatus.SUCCESS, commandLine.run("ticket", "--help"));
        assertEquals(ExitStatus.SUCCESS, commandLine.run("ticket", "show", "--help"));
        assertTrue(output().contains("usage: siskinramp ticket show N "));
    }

    @Test
    void anUnreachableHostIsReportedWithItsResultCode() throws IOException {
        server.stop();

        assertEquals(ExitStatus.FAILURE, administer("status"));
        assertTrue(errors().startsWith("error code=504 name=ADMINISTRATION_UNREACHABLE "));
    }

    @Test
    void settingsErrorsArePrintedWithTheirLine() throws IOException {
        Path settings = Files.writeString(directory.resolve("s.toml"), "[host]\nname = 1\n");

        assertEquals(ExitStatus.FAILURE, commandLine.run("settings", "check", settings.toString()));
        assertTrue(
                errors().contains(" line=2 key=host.name problem=\"has the wrong type\" allowed="));
    }

    private ExitStatus administer(String... words) {
        List<String> arguments = new ArrayList<>(List.of(words));
        arguments.addAll(
                List.of(
                        "--administration",
                        "http://127.0.0.1:" + port,
                        "--token-file",
                        tokenFile.toString()));
        return commandLine.run(arguments.toArray(String[]::new));
    }

    private String output() {
        return output.toString(StandardCharsets.UTF_8);
    }

    private String errors() {
        return errors.toString(StandardCharsets.UTF_8);
    }
}
