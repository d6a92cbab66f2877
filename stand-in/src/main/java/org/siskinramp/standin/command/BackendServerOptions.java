package org.siskinramp.standin.command;

import java.util.concurrent.TimeUnit;
import org.kohsuke.args4j.Option;
import org.siskinramp.standin.server.BackendServerStandIn;
import org.siskinramp.standin.server.Distribution;
import org.siskinramp.standin.server.ServerSettings;

/** The options shared by the commands that run backend servers. */
abstract class BackendServerOptions implements StandInCommand {

    private static final long DRAIN_TIMEOUT_MILLISECONDS = 10_000;

    @Option(name = "--seed", usage = "seed of the random durations of requests")
    private long seed = 1;

    @Option(name = "--slots", usage = "maximum number of requests that run at once")
    private int slots = 4;

    @Option(name = "--accept-queue", usage = "maximum number of requests that wait for a slot")
    private int queueLimit = 250;

    @Option(name = "--work-ms", usage = "mean duration of a request, in milliseconds")
    private double meanServiceTimeMilliseconds = 20;

    @Option(name = "--distribution", usage = "distribution of the durations of requests")
    private Distribution distribution = Distribution.EXPONENTIAL;

    @Option(
            name = "--cold-slots",
            usage = "number of requests that it can process at once while cold")
    private int coldSlots = 1;

    @Option(
            name = "--warm-after-requests",
            usage = "number of finished requests after which it is warm; 0 for no cold start")
    private int warmAfterRequests;

    @Option(name = "--fall-over", usage = "crash when overloaded while cold")
    private boolean crashOnColdOverload;

    @Option(name = "--fall-over-ms", usage = "time from a crash to the restart, in milliseconds")
    private long restartDelayMilliseconds = 1000;

    @Option(name = "--report-lag-ms", usage = "age of reported loads, in milliseconds")
    private long reportLagMilliseconds;

    ServerSettings settings(String name, String address, int number) {
        return ServerSettings.builder()
                .name(name)
                .address(address)
                .slots(slots)
                .queueLimit(queueLimit)
                .meanServiceTimeMilliseconds(meanServiceTimeMilliseconds)
                .distribution(distribution)
                .seed(seed + number)
                .coldStart(coldSlots, warmAfterRequests)
                .crashOnColdOverload(crashOnColdOverload)
                .restartDelayMilliseconds(restartDelayMilliseconds)
                .reportLagMilliseconds(reportLagMilliseconds)
                .build();
    }

    static void stop(BackendServerStandIn server) {
        server.drain()
                .completeOnTimeout(null, DRAIN_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
                .join();
        server.close();
    }
}
