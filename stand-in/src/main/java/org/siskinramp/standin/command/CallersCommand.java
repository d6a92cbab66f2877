package org.siskinramp.standin.command;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.siskinramp.log.EventLog;
import org.siskinramp.standin.WorkerScheduler;
import org.siskinramp.standin.caller.CallerLoad;
import org.siskinramp.standin.caller.CallerSettings;
import org.siskinramp.standin.caller.LoadKind;
import org.siskinramp.standin.caller.LoadReport;
import org.siskinramp.standin.caller.LoadResult;
import org.siskinramp.standin.caller.LoadShape;
import org.siskinramp.standin.http.Json;
import org.siskinramp.time.SystemClock;

/** Sends a load of requests to entry hosts and verifies every answer. */
public final class CallersCommand implements StandInCommand {

    private static final int THREADS = 2;

    @Option(
            name = "--targets",
            required = true,
            usage = "addresses of the entry hosts, separated by commas")
    private String targets;

    @Option(
            name = "--judges",
            usage = "addresses of backend servers to ask which requests they ran")
    private String verifiedServers = "";

    @Option(name = "--mix", usage = "kinds as name:method:path:share, separated by commas")
    private String mix = "read:GET:/schedule/streets:8,order:POST:/dispatch/orders:2";

    @Option(name = "--requests", usage = "number of requests to send")
    private int requests = 1000;

    @Option(
            name = "--warm-up-requests",
            usage = "number of first requests left out of the latencies")
    private int warmUpRequests;

    @Option(name = "--rate", usage = "mean number of requests per second")
    private double requestsPerSecond = 100;

    @Option(name = "--callers", usage = "number of callers that send the requests")
    private int callers = 10;

    @Option(name = "--seed", usage = "seed of all random choices")
    private long seed = 1;

    @Option(name = "--deadline-ms", usage = "deadline of each request, in milliseconds")
    private long deadlineMilliseconds = 2000;

    @Option(name = "--resend", usage = "share of non-idempotent requests that are sent twice")
    private double resendShare;

    @Option(
            name = "--follow-up-ms",
            usage = "how long after its deadline to repeat a request that is in progress")
    private long followUpMilliseconds = 10_000;

    @Option(name = "--record", usage = "file to write a line for each request to")
    private Path recordFile;

    @Option(name = "--json", usage = "print the report as JSON")
    private boolean json;

    @Override
    public int run(EventLog output) {
        try (WorkerScheduler scheduler = new WorkerScheduler(THREADS);
                CallerLoad load = new CallerLoad(settings(), new SystemClock(), scheduler)) {
            LoadResult result = load.run().join();
            write(result.reports(), output);
            writeRecord(result);
        }
        return 0;
    }

    @SuppressWarnings("SystemOut")
    private void write(List<LoadReport> reports, EventLog output) {
        if (json) {
            System.out.println(new String(Json.write(reports), StandardCharsets.UTF_8));
        } else {
            reports.forEach(report -> output.record(report.toEvent()));
        }
    }

    private void writeRecord(LoadResult result) {
        if (recordFile == null) {
            return;
        }
        try {
            Files.write(recordFile, result.lines());
        } catch (IOException failure) {
            throw new UncheckedIOException("cannot write " + recordFile, failure);
        }
    }

    private CallerSettings settings() {
        return new CallerSettings(
                addresses(targets),
                addresses(verifiedServers),
                LoadKind.parseAll(mix),
                requests,
                warmUpRequests,
                requestsPerSecond,
                callers,
                seed,
                deadlineMilliseconds,
                resendShare,
                followUpMilliseconds,
                LoadShape.STEADY);
    }

    private static List<String> addresses(String text) {
        return text.isEmpty() ? List.of() : List.of(text.split(",", -1));
    }
}
