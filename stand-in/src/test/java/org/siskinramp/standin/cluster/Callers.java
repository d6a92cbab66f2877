package org.siskinramp.standin.cluster;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.standin.WorkerScheduler;
import org.siskinramp.standin.caller.CallerLoad;
import org.siskinramp.standin.caller.CallerSettings;
import org.siskinramp.standin.caller.LoadKind;
import org.siskinramp.standin.caller.LoadResult;
import org.siskinramp.standin.caller.LoadShape;
import org.siskinramp.time.SystemClock;

/** Sends the load of the test's callers from the process of the test. */
final class Callers implements AutoCloseable {

    private static final String EVERY_KIND =
            "read:GET:/schedule-consent/streets:6,"
                    + "consent:POST:/schedule-consent/consents:3,"
                    + "shut-off-order:POST:/dispatch/orders:1";
    private static final String READS = "read:GET:/schedule-consent/streets:1";
    private static final int CALLERS = 10;
    private static final long DEADLINE_MILLISECONDS = 4000;
    private static final long FOLLOW_UP_MILLISECONDS = 8000;
    private static final double RESEND_SHARE = 0.2;

    private final WorkerScheduler scheduler = new WorkerScheduler(2);
    private long seed;

    CompletableFuture<LoadResult> sendEveryKind(
            Cluster cluster, List<String> targets, int requests, int rate) {
        return send(cluster, targets, EVERY_KIND, requests, rate, RESEND_SHARE);
    }

    CompletableFuture<LoadResult> sendReads(
            Cluster cluster, List<String> targets, int requests, int rate) {
        return send(cluster, targets, READS, requests, rate, 0);
    }

    private CompletableFuture<LoadResult> send(
            Cluster cluster,
            List<String> targets,
            String kinds,
            int requests,
            int rate,
            double resendShare) {
        seed++;
        CallerSettings settings =
                new CallerSettings(
                        targets,
                        cluster.serverAddresses(),
                        LoadKind.parseAll(kinds),
                        requests,
                        0,
                        rate,
                        CALLERS,
                        seed,
                        DEADLINE_MILLISECONDS,
                        resendShare,
                        FOLLOW_UP_MILLISECONDS,
                        LoadShape.STEADY);
        CallerLoad load = new CallerLoad(settings, new SystemClock(), scheduler);
        return load.run().whenComplete((result, failure) -> load.close());
    }

    @Override
    public void close() {
        scheduler.close();
    }
}
