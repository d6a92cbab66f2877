package org.siskinramp.standin.measurement;

import java.util.List;
import java.util.Locale;

/** Holds the disturbances of the scenarios. */
final class Disturbances {

    private static final long STRAGGLER_CHANGE_MILLISECONDS = 300;
    private static final double STRAGGLER_SHARE = 0.05;
    private static final double STRAGGLER_FACTOR = 4;
    private static final long COLD_RESTART_GAP_MILLISECONDS = 200;

    private Disturbances() {}

    static void none(Stage stage) {
        stage.describe("none");
    }

    static void changeStragglers(Stage stage) {
        int stragglers = (int) Math.max(1, Math.round(stage.servers().size() * STRAGGLER_SHARE));
        stage.describe(stragglers + " servers slower by " + STRAGGLER_FACTOR);
        long changes = stage.milliseconds() / STRAGGLER_CHANGE_MILLISECONDS;
        for (long change = 0; change < changes; change++) {
            List<String> slow = stage.drawServers(stragglers);
            long from = change * STRAGGLER_CHANGE_MILLISECONDS;
            slow.forEach(server -> stage.at(from, () -> straggle(stage, server, STRAGGLER_FACTOR)));
            slow.forEach(
                    server ->
                            stage.at(
                                    from + STRAGGLER_CHANGE_MILLISECONDS - 1,
                                    () -> straggle(stage, server, 1)));
        }
    }

    private static void straggle(Stage stage, String server, double factor) {
        stage.control()
                .post(
                        server,
                        "/-/faults",
                        String.format(Locale.ROOT, "{\"straggle\":%.1f}", factor));
    }

    static void failFast(Stage stage) {
        stage.describe("one server fails fast");
        String server = stage.servers().get(0);
        stage.at(
                stage.milliseconds() / 4,
                () -> stage.control().post(server, "/-/faults", "{\"fail_fast\":true}"));
        stage.at(
                stage.milliseconds() * 3 / 4,
                () -> stage.control().post(server, "/-/faults", "{\"fail_fast\":false}"));
    }

    static void turnCold(Stage stage) {
        int restarts = Math.max(1, stage.servers().size() / 3);
        stage.describe(restarts + " servers turn cold");
        for (int index = 0; index < restarts; index++) {
            String server = stage.servers().get(index * stage.servers().size() / restarts);
            stage.at(
                    stage.milliseconds() / 3 + index * COLD_RESTART_GAP_MILLISECONDS,
                    () -> stage.control().post(server, "/-/faults", "{\"cold\":true}"));
        }
    }

    static void takeZoneOutAndBack(Stage stage) {
        String zone = stage.availabilityZone();
        stage.describe(zone + " out and back");
        String path = "/v1/availability-zones/" + zone + "/";
        stage.at(
                stage.milliseconds() / 3,
                () -> stage.control().post(stage.administration(), path + "out", ""));
        stage.at(
                stage.milliseconds() * 2 / 3,
                () -> stage.control().post(stage.administration(), path + "in", ""));
    }

    static void takePlatformDown(Stage stage) {
        stage.describe("platform down for " + stage.outageMilliseconds() + " ms");
        long from = stage.milliseconds() / 4;
        stage.at(
                from,
                () -> stage.control().post(stage.platform(), "/-/faults", "{\"outage\":true}"));
        stage.at(
                from + stage.outageMilliseconds(),
                () -> stage.control().post(stage.platform(), "/-/faults", "{\"outage\":false}"));
    }

    static void killHost(Stage stage) {
        stage.describe("the last entry host is killed");
        stage.at(stage.milliseconds() / 3, stage::killLastHost);
    }
}
