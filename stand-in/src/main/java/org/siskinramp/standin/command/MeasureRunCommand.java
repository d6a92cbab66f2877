package org.siskinramp.standin.command;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.kohsuke.args4j.Option;
import org.siskinramp.log.EventLog;
import org.siskinramp.standin.measurement.Deployment;
import org.siskinramp.standin.measurement.MeasurementRun;
import org.siskinramp.standin.measurement.RunSettings;
import org.siskinramp.standin.measurement.Scenario;

/** Measures one scenario with entry hosts that have just started. */
public final class MeasureRunCommand implements StandInCommand {

    private static final long MILLISECONDS_PER_SECOND = 1000;

    @Option(name = "--deployment", usage = "deployment whose services are used: qazaq or lombard")
    private String deployment = "qazaq";

    @Option(name = "--policy", usage = "routing policy of the entry hosts")
    private String policy = "slots";

    @Option(name = "--scenario", required = true, usage = "name of the scenario")
    private String scenario;

    @Option(name = "--repeat", usage = "number of this repeat")
    private int repeat = 1;

    @Option(name = "--seed", usage = "seed of all random choices")
    private long seed = 1;

    @Option(name = "--seconds", usage = "duration of the measured load")
    private long seconds = 10;

    @Option(name = "--warm-up-seconds", usage = "duration of the lower load before the measurement")
    private long warmUpSeconds = 5;

    @Option(name = "--outage-seconds", usage = "duration of the platform outage")
    private long outageSeconds = 60;

    @Option(name = "--deadline-ms", usage = "deadline of each request, in milliseconds")
    private long deadlineMilliseconds = 2000;

    @Option(name = "--work-ms", usage = "mean duration of a request, in milliseconds")
    private double meanServiceTimeMilliseconds = 20;

    @Option(
            name = "--targets",
            required = true,
            usage = "caller-side addresses of the entry hosts, separated by commas")
    private String callerAddresses;

    @Option(
            name = "--administrations",
            required = true,
            usage = "administration addresses of the entry hosts, separated by commas")
    private String administrationAddresses;

    @Option(
            name = "--process-ids",
            required = true,
            usage = "process identifiers of the entry hosts, separated by commas")
    private String processIds;

    @Option(
            name = "--servers",
            required = true,
            usage = "addresses of the backend servers, separated by commas")
    private String servers;

    @Option(
            name = "--direct-server",
            required = true,
            usage = "backend server that is called directly")
    private String directServer;

    @Option(name = "--platform", required = true, usage = "address of the platform")
    private String platform;

    @Option(name = "--token-file", required = true, usage = "file of the administration token")
    private Path tokenFile;

    @Override
    public int run(EventLog output) {
        try (MeasurementRun measurement = new MeasurementRun(settings(), output)) {
            measurement.run();
        }
        return 0;
    }

    private RunSettings settings() {
        return new RunSettings(
                Deployment.of(deployment),
                policy,
                Scenario.of(scenario),
                repeat,
                seed,
                seconds * MILLISECONDS_PER_SECOND,
                warmUpSeconds * MILLISECONDS_PER_SECOND,
                outageSeconds * MILLISECONDS_PER_SECOND,
                deadlineMilliseconds,
                meanServiceTimeMilliseconds,
                processes());
    }

    private RunSettings.Processes processes() {
        return new RunSettings.Processes(
                split(callerAddresses),
                split(administrationAddresses),
                split(processIds).stream().map(Long::valueOf).toList(),
                split(servers),
                directServer,
                platform,
                token());
    }

    private String token() {
        try {
            return Files.readString(tokenFile).strip();
        } catch (IOException failure) {
            throw new UncheckedIOException("cannot read " + tokenFile, failure);
        }
    }

    private static List<String> split(String text) {
        return Stream.of(text.split(",", -1)).toList();
    }
}
