package org.siskinramp.standin.command;

import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.standin.WorkerScheduler;
import org.siskinramp.standin.server.BackendServerStandIn;
import org.siskinramp.time.Clock;
import org.siskinramp.time.SystemClock;

/** Runs several stand-ins for backend servers in one process, each on its own port. */
public final class BackendServersCommand extends BackendServerOptions {

    private static final int THREADS = 4;
    private static final String ANY_PORT = "127.0.0.1:0";

    @Option(
            name = "--names",
            required = true,
            usage = "names of the backend servers, separated by commas")
    private String names;

    @Override
    public int run(EventLog output) {
        List<BackendServerStandIn> servers = start(output);
        String all = String.join(",", servers.stream().map(BackendServerStandIn::address).toList());
        return ServerProcess.runUntilTerminated(
                all, output, () -> servers.parallelStream().forEach(BackendServerOptions::stop));
    }

    private List<BackendServerStandIn> start(EventLog output) {
        Clock clock = new SystemClock();
        WorkerScheduler scheduler = new WorkerScheduler(THREADS);
        List<BackendServerStandIn> servers = new ArrayList<>();
        for (String name : names.split(",", -1)) {
            BackendServerStandIn server =
                    BackendServerStandIn.start(
                            settings(name, ANY_PORT, servers.size()), clock, scheduler);
            servers.add(server);
            output.record(
                    LogEvent.named("backend_server")
                            .with("name", name)
                            .with("address", server.address()));
        }
        return servers;
    }
}
