package org.siskinramp.daemon.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.tomlj.TomlParseResult;

/** Reads the settings of an entry host from a parsed file and collects all validation errors. */
final class SettingsReader {

    private static final int KIBIBYTE = 1024;
    private static final int MEBIBYTE = 1024 * KIBIBYTE;
    private static final int SECOND_MILLISECONDS = 1000;
    private static final int HOUR_MILLISECONDS = 3600 * SECOND_MILLISECONDS;
    private static final List<String> SECTIONS =
            List.of(
                    "host",
                    "caller_side",
                    "peer_link",
                    "administration",
                    "platform",
                    "workers",
                    "control",
                    "routing",
                    "log");

    private final Path file;
    private final TomlParseResult parsed;
    private final List<SettingsError> errors = new ArrayList<>();

    SettingsReader(Path file, TomlParseResult parsed) {
        this.file = file;
        this.parsed = parsed;
    }

    SettingsReport<Settings> read() {
        SettingsError.fromSyntaxErrors(parsed).forEach(errors::add);
        Settings settings =
                new Settings(
                        readHost(),
                        readCallerSide(),
                        readPeerLink(),
                        readAdministration(),
                        readPlatform(),
                        readWorkers(),
                        readControl(),
                        readRouting(),
                        readLog());
        SettingsSection.unknownSectionErrors(parsed, SECTIONS).forEach(errors::add);
        return SettingsReport.of(file, settings, errors);
    }

    private Settings.Host readHost() {
        SettingsSection section = section("host");
        Settings.Host host =
                new Settings.Host(section.name("name"), section.name("availability_zone"));
        section.addUnknownKeyErrors();
        return host;
    }

    private Settings.CallerSide readCallerSide() {
        SettingsSection section = section("caller_side");
        Settings.CallerSide callerSide =
                new Settings.CallerSide(
                        section.address("address"),
                        section.integer("header_limit_bytes", KIBIBYTE, MEBIBYTE, 16 * KIBIBYTE),
                        section.integer("body_limit_bytes", 0, 64 * MEBIBYTE, MEBIBYTE),
                        section.integer(
                                "answer_limit_bytes", KIBIBYTE, 64 * MEBIBYTE, 8 * MEBIBYTE),
                        section.integer("idle_timeout_ms", 100, HOUR_MILLISECONDS, 30_000),
                        section.integer("concurrent_request_limit", 1, 100_000, 2_000),
                        section.integer("default_deadline_ms", 1, HOUR_MILLISECONDS, 2_000));
        section.addUnknownKeyErrors();
        return callerSide;
    }

    private Settings.PeerLink readPeerLink() {
        SettingsSection section = section("peer_link");
        Settings.PeerLink peerLink =
                new Settings.PeerLink(
                        section.address("address"),
                        section.integer("frame_limit_bytes", KIBIBYTE, MEBIBYTE, 64 * KIBIBYTE));
        section.addUnknownKeyErrors();
        return peerLink;
    }

    private Settings.Administration readAdministration() {
        SettingsSection section = section("administration");
        Settings.Administration administration =
                new Settings.Administration(
                        section.address("address"), section.readableFile("token_file", file));
        section.addUnknownKeyErrors();
        return administration;
    }

    private Settings.Platform readPlatform() {
        SettingsSection section = section("platform");
        Settings.Platform platform =
                new Settings.Platform(
                        section.httpAddress("address"),
                        section.integer("request_timeout_ms", 10, 60_000, SECOND_MILLISECONDS));
        section.addUnknownKeyErrors();
        return platform;
    }

    private Settings.Workers readWorkers() {
        SettingsSection section = section("workers");
        Settings.Workers workers = new Settings.Workers(section.integer("count", 1, 256, 4));
        section.addUnknownKeyErrors();
        return workers;
    }

    private Settings.Control readControl() {
        SettingsSection section = section("control");
        Settings.Control control =
                new Settings.Control(
                        section.integer("heartbeat_interval_ms", 10, 60_000, 500),
                        section.integer("lease_ms", 40, 600_000, 2_000),
                        section.integer("configuration_poll_ms", 100, 60_000, 1_000),
                        section.integer("drain_ms", 0, 600_000, 1_000),
                        section.integer("stop_timeout_ms", 0, HOUR_MILLISECONDS, 30_000));
        if (control.leaseMilliseconds() < 3 * control.heartbeatIntervalMilliseconds()) {
            section.addError(
                    "lease_ms",
                    "is too short for the heartbeat interval",
                    "at least three times heartbeat_interval_ms");
        }
        section.addUnknownKeyErrors();
        return control;
    }

    private Settings.Routing readRouting() {
        SettingsSection section = section("routing");
        Settings.Routing routing =
                new Settings.Routing(section.routingPolicy("policy", RoutingPolicy.SLOTS));
        section.addUnknownKeyErrors();
        return routing;
    }

    private Settings.Log readLog() {
        SettingsSection section = section("log");
        Settings.Log log = new Settings.Log(section.logLevel("level", LogLevel.INFO));
        section.addUnknownKeyErrors();
        return log;
    }

    private SettingsSection section(String name) {
        return new SettingsSection(parsed, name, errors);
    }
}
