package org.siskinramp.daemon.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.tomlj.TomlParseResult;

/** Reads the settings of a gateway from a parsed file and collects all validation errors. */
final class GatewaySettingsReader {

    private static final int KIBIBYTE = 1024;
    private static final int MEBIBYTE = 1024 * KIBIBYTE;
    private static final int MINUTE_MILLISECONDS = 60_000;
    private static final List<String> SECTIONS =
            List.of(
                    "host",
                    "callers",
                    "pages",
                    "store",
                    "peers",
                    "routing",
                    "log",
                    "operator_figures");

    private final Path file;
    private final TomlParseResult parsed;
    private final List<SettingsError> errors = new ArrayList<>();

    GatewaySettingsReader(Path file, TomlParseResult parsed) {
        this.file = file;
        this.parsed = parsed;
    }

    SettingsReport<GatewaySettings> read() {
        SettingsError.fromSyntaxErrors(parsed).forEach(errors::add);
        SettingsSection host = section("host");
        SettingsSection log = section("log");
        GatewaySettings settings =
                new GatewaySettings(
                        new Settings.Host(host.name("name"), host.name("availability_zone")),
                        readCallers(),
                        readPages(),
                        readStore(),
                        readPeers(),
                        readRouting(),
                        new Settings.Log(log.logLevel("level", LogLevel.INFO)),
                        section("operator_figures").numbers());
        host.addUnknownKeyErrors();
        log.addUnknownKeyErrors();
        SettingsSection.unknownSectionErrors(parsed, SECTIONS).forEach(errors::add);
        return SettingsReport.of(file, settings, errors);
    }

    private GatewaySettings.Callers readCallers() {
        SettingsSection section = section("callers");
        GatewaySettings.Callers callers =
                new GatewaySettings.Callers(
                        section.address("address"),
                        section.integer("header_limit_bytes", KIBIBYTE, MEBIBYTE, 64 * KIBIBYTE),
                        section.integer("body_limit_bytes", 0, 64 * MEBIBYTE, 8 * MEBIBYTE),
                        section.integer("bodies_limit_bytes", 0, 512 * MEBIBYTE, 16 * MEBIBYTE),
                        section.integer(
                                "answer_limit_bytes", KIBIBYTE, 64 * MEBIBYTE, 8 * MEBIBYTE),
                        section.integer(
                                "answers_limit_bytes", KIBIBYTE, 512 * MEBIBYTE, 12 * MEBIBYTE),
                        section.integer("idle_timeout_ms", 100, MINUTE_MILLISECONDS, 30_000),
                        section.integer("concurrent_request_limit", 1, 100_000, 1_500));
        section.addUnknownKeyErrors();
        return callers;
    }

    private GatewaySettings.Pages readPages() {
        SettingsSection section = section("pages");
        GatewaySettings.Pages pages =
                new GatewaySettings.Pages(
                        section.address("readiness_address"), section.address("metrics_address"));
        section.addUnknownKeyErrors();
        return pages;
    }

    private GatewaySettings.Store readStore() {
        SettingsSection section = section("store");
        GatewaySettings.Store store =
                new GatewaySettings.Store(
                        section.httpAddress("address"),
                        section.integer("request_timeout_ms", 10, MINUTE_MILLISECONDS, 700),
                        section.integer("server_interval_ms", 50, MINUTE_MILLISECONDS, 2_000),
                        section.integer("operator_wait_ms", 0, MINUTE_MILLISECONDS, 2_200));
        section.addUnknownKeyErrors();
        return store;
    }

    private GatewaySettings.Peers readPeers() {
        SettingsSection section = section("peers");
        GatewaySettings.Peers peers =
                new GatewaySettings.Peers(
                        section.address("address"),
                        section.flag("first_start", false),
                        section.addresses("seeds"));
        section.addUnknownKeyErrors();
        return peers;
    }

    private GatewaySettings.Routing readRouting() {
        SettingsSection section = section("routing");
        GatewaySettings.Routing routing =
                new GatewaySettings.Routing(
                        section.integer("candidates", 1, 20, 3),
                        section.integer("cross_zone_patience_ms", 0, MINUTE_MILLISECONDS, 15),
                        section.integer("assumed_hosts", 1, 100_000, 100));
        section.addUnknownKeyErrors();
        return routing;
    }

    private SettingsSection section(String name) {
        return new SettingsSection(parsed, name, errors);
    }
}
