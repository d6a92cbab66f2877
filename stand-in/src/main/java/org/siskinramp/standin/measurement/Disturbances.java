package org.siskinramp.standin.measurement;

import java.util.List;
import java.util.Locale;

/** The disturbances of the scenarios. */
final class Disturbances {

    private static final long STRAGGLER_INTERVAL_MILLISECONDS = 300;
    private static final double STRAGGLER_SHARE = 0.05;
    private static final double STRAGGLER_FACTOR = 4;
    private static final long COLD_RESTART_INTERVAL_MILLISECONDS = 200;

    private Disturbances() {}

    static void none(DisturbanceContext context) {
        context.log("none");
    }

    static void changeStragglers(DisturbanceContext context) {
        int stragglers = (int) Math.max(1, Math.round(context.servers().size() * STRAGGLER_SHARE));
        context.log(stragglers + " servers slower by " + STRAGGLER_FACTOR);
        long changes = context.loadMilliseconds() / STRAGGLER_INTERVAL_MILLISECONDS;
        for (long change = 0; change < changes; change++) {
            List<String> stragglerAddresses = context.chooseServers(stragglers);
            long startMilliseconds = change * STRAGGLER_INTERVAL_MILLISECONDS;
            stragglerAddresses.forEach(
                    server ->
                            context.schedule(
                                    startMilliseconds,
                                    () -> setSlowdown(context, server, STRAGGLER_FACTOR)));
            stragglerAddresses.forEach(
                    server ->
                            context.schedule(
                                    startMilliseconds + STRAGGLER_INTERVAL_MILLISECONDS - 1,
                                    () -> setSlowdown(context, server, 1)));
        }
    }

    private static void setSlowdown(DisturbanceContext context, String server, double factor) {
        context.control()
                .post(
                        server,
                        "/-/faults",
                        String.format(Locale.ROOT, "{\"straggle\":%.1f}", factor));
    }

    static void failFast(DisturbanceContext context) {
        context.log("one server fails fast");
        String server = context.servers().get(0);
        context.schedule(
                context.loadMilliseconds() / 4,
                () -> context.control().post(server, "/-/faults", "{\"fail_fast\":true}"));
        context.schedule(
                context.loadMilliseconds() * 3 / 4,
                () -> context.control().post(server, "/-/faults", "{\"fail_fast\":false}"));
    }

    static void makeServersCold(DisturbanceContext context) {
        int restarts = Math.max(1, context.servers().size() / 3);
        context.log(restarts + " servers turn cold");
        for (int index = 0; index < restarts; index++) {
            String server = context.servers().get(index * context.servers().size() / restarts);
            context.schedule(
                    context.loadMilliseconds() / 3 + index * COLD_RESTART_INTERVAL_MILLISECONDS,
                    () -> context.control().post(server, "/-/faults", "{\"cold\":true}"));
        }
    }

    static void takeZoneOutAndBack(DisturbanceContext context) {
        String zone = context.availabilityZone();
        context.log(zone + " out and back");
        String path = "/v1/availability-zones/" + zone + "/";
        context.schedule(
                context.loadMilliseconds() / 3,
                () -> context.control().post(context.administration(), path + "out", ""));
        context.schedule(
                context.loadMilliseconds() * 2 / 3,
                () -> context.control().post(context.administration(), path + "in", ""));
    }

    static void takePlatformDown(DisturbanceContext context) {
        context.log("platform down for " + context.outageMilliseconds() + " ms");
        long startMilliseconds = context.loadMilliseconds() / 4;
        context.schedule(
                startMilliseconds,
                () -> context.control().post(context.platform(), "/-/faults", "{\"outage\":true}"));
        context.schedule(
                startMilliseconds + context.outageMilliseconds(),
                () ->
                        context.control()
                                .post(context.platform(), "/-/faults", "{\"outage\":false}"));
    }

    static void killHost(DisturbanceContext context) {
        context.log("the last entry host is killed");
        context.schedule(context.loadMilliseconds() / 3, context::killLastHost);
    }
}
