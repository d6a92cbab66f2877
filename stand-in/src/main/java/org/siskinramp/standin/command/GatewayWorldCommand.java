package org.siskinramp.standin.command;

import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.request.Header;
import org.siskinramp.standin.store.StoreStandIn;
import org.siskinramp.standin.upstream.GatewayWorld;
import org.siskinramp.standin.upstream.UpstreamFault;
import org.siskinramp.standin.upstream.UpstreamStandIn;

/** Runs the operators' store and a few backend servers, to try a gateway on loopback. */
public final class GatewayWorldCommand implements StandInCommand {

    private static final int SLOTS = 4;
    private static final int INVALID = 2;

    /** A server that ended starts again after this. */
    private static final long AWAY_MILLISECONDS = 2_000;

    @Option(name = "--address", usage = "address of the store; port 0 takes a free port")
    private String address = "127.0.0.1:0";

    @Option(name = "--servers", usage = "how many backend servers to run")
    private int servers = 2;

    @Option(name = "--work-ms", usage = "how long a request takes, in milliseconds")
    private long workMilliseconds = 50;

    @Option(name = "--end-on", usage = "beginning of the paths that end the server that gets them")
    private String endingPrefix = "";

    @Option(name = "--fault", usage = "how the first server treats its requests")
    private UpstreamFault fault = UpstreamFault.NONE;

    @Option(name = "--announce", usage = "a header in all answers of the first server, Name:value")
    private String announced = "";

    @Override
    public int run(EventLog output) {
        int colon = announced.indexOf(':');
        if (!announced.isEmpty() && colon < 1) {
            output.record(
                    LogEvent.named("invalid")
                            .with("option", "--announce")
                            .with("reason", "must be Name:value"));
            return INVALID;
        }
        StoreStandIn store = StoreStandIn.start(address);
        store.put("op", "config", GatewayWorld.configuration(1));
        List<UpstreamStandIn> upstreams = new ArrayList<>();
        for (int number = 1; number <= servers; number++) {
            upstreams.add(
                    new UpstreamStandIn(
                            "i-" + number, "desk", "zone-a", SLOTS, workMilliseconds, store));
        }
        upstreams.get(0).setFault(fault);
        if (colon > 0) {
            upstreams
                    .get(0)
                    .announce(
                            new Header(
                                    announced.substring(0, colon),
                                    announced.substring(colon + 1).strip()));
        }
        if (!endingPrefix.isEmpty()) {
            upstreams.forEach(
                    server ->
                            server.endOn(
                                    endingPrefix,
                                    AWAY_MILLISECONDS,
                                    requestId ->
                                            output.record(
                                                    LogEvent.named("ended")
                                                            .with("request", requestId)
                                                            .with(
                                                                    "backend_server",
                                                                    server.identity()))));
        }
        return Running.untilTerminated(
                store.address(),
                output,
                () -> {
                    upstreams.forEach(UpstreamStandIn::close);
                    store.close();
                });
    }
}
