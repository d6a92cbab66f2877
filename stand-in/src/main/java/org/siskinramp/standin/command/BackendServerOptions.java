package org.siskinramp.standin.command;

import java.util.concurrent.TimeUnit;
import org.kohsuke.args4j.Option;
import org.siskinramp.standin.server.BackendServerStandIn;
import org.siskinramp.standin.server.Distribution;
import org.siskinramp.standin.server.ServerSettings;

/** Reads the options that backend servers share. */
abstract class BackendServerOptions implements StandInCommand {

    private static final long DRAIN_MILLISECONDS = 10_000;

    @Option(name = "--seed", usage = "seed of the durations")
    private long seed = 1;

    @Option(name = "--slots", usage = "how many requests run at once")
    private int slots = 4;

    @Option(name = "--accept-queue", usage = "how many requests may wait for a slot")
    private int acceptQueue = 250;

    @Option(name = "--work-ms", usage = "mean duration of a request, in milliseconds")
    private double workMilliseconds = 20;

    @Option(name = "--distribution", usage = "distribution of the durations")
    private Distribution distribution = Distribution.EXPONENTIAL;

    @Option(name = "--cold-slots", usage = "how many requests it bears at once while cold")
    private int coldSlots = 1;

    @Option(
            name = "--warm-after-requests",
            usage = "requests that it finishes before it is warm; 0 for no cold start")
    private int warmAfterRequests;

    @Option(name = "--fall-over", usage = "fall over when overloaded while cold")
    private boolean fallOver;

    @Option(name = "--fall-over-ms", usage = "how long it is gone then, in milliseconds")
    private long fallOverMilliseconds = 1000;

    @Option(name = "--report-lag-ms", usage = "how old the reported load is, in milliseconds")
    private long reportLagMilliseconds;

    ServerSettings settings(String name, String address, int number) {
        return ServerSettings.builder()
                .name(name)
                .address(address)
                .slots(slots)
                .acceptQueue(acceptQueue)
                .workMilliseconds(workMilliseconds)
                .distribution(distribution)
                .seed(seed + number)
                .coldStart(coldSlots, warmAfterRequests)
                .fallOver(fallOver)
                .fallOverMilliseconds(fallOverMilliseconds)
                .reportLagMilliseconds(reportLagMilliseconds)
                .build();
    }

    static void stop(BackendServerStandIn server) {
        server.drain().completeOnTimeout(null, DRAIN_MILLISECONDS, TimeUnit.MILLISECONDS).join();
        server.close();
    }
}
