package org.siskinramp.standin.command;

import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.request.Header;
import org.siskinramp.standin.store.StoreStandIn;
import org.siskinramp.standin.upstream.SampleDeployment;
import org.siskinramp.standin.upstream.UpstreamFault;
import org.siskinramp.standin.upstream.UpstreamStandIn;

/** Runs stand-ins for the operators' store and some backend servers, to try a gateway locally. */
public final class GatewayWorldCommand implements StandInCommand {

    private static final int SLOTS = 4;
    private static final int USAGE_STATUS = 2;

    /** The time after which a crashed server starts again. */
    private static final long RESTART_DELAY_MILLISECONDS = 2_000;

    @Option(name = "--address", usage = "address of the store; port 0 takes a free port")
    private String address = "127.0.0.1:0";

    @Option(name = "--servers", usage = "number of backend servers")
    private int servers = 2;

    @Option(name = "--work-ms", usage = "duration of a request, in milliseconds")
    private long serviceTimeMilliseconds = 50;

    @Option(
            name = "--end-on",
            usage = "path prefix of the requests that crash the server that receives them")
    private String crashPathPrefix = "";

    @Option(name = "--fault", usage = "fault of the first server")
    private UpstreamFault fault = UpstreamFault.NONE;

    @Option(name = "--announce", usage = "header of all answers of the first server, Name:value")
    private String announcedHeader = "";

    @Override
    public int run(EventLog output) {
        int colon = announcedHeader.indexOf(':');
        if (!announcedHeader.isEmpty() && colon < 1) {
            output.record(
                    LogEvent.named("invalid")
                            .with("option", "--announce")
                            .with("reason", "must be Name:value"));
            return USAGE_STATUS;
        }
        StoreStandIn store = StoreStandIn.start(address);
        store.put("op", "config", SampleDeployment.configuration(1));
        List<UpstreamStandIn> upstreams = new ArrayList<>();
        for (int number = 1; number <= servers; number++) {
            upstreams.add(
                    new UpstreamStandIn(
                            "i-" + number,
                            "desk",
                            "zone-a",
                            SLOTS,
                            serviceTimeMilliseconds,
                            store));
        }
        upstreams.get(0).setFault(fault);
        if (colon > 0) {
            upstreams
                    .get(0)
                    .setAdditionalHeaders(
                            new Header(
                                    announcedHeader.substring(0, colon),
                                    announcedHeader.substring(colon + 1).strip()));
        }
        if (!crashPathPrefix.isEmpty()) {
            upstreams.forEach(
                    server ->
                            server.crashOnPathPrefix(
                                    crashPathPrefix,
                                    RESTART_DELAY_MILLISECONDS,
                                    requestId ->
                                            output.record(
                                                    LogEvent.named("ended")
                                                            .with("request", requestId)
                                                            .with(
                                                                    "backend_server",
                                                                    server.identity()))));
        }
        return ServerProcess.runUntilTerminated(
                store.address(),
                output,
                () -> {
                    upstreams.forEach(UpstreamStandIn::close);
                    store.close();
                });
    }
}
