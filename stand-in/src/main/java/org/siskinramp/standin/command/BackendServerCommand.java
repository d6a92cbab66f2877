package org.siskinramp.standin.command;

import org.kohsuke.args4j.Option;
import org.siskinramp.log.EventLog;
import org.siskinramp.standin.WorkerScheduler;
import org.siskinramp.standin.server.BackendServerStandIn;
import org.siskinramp.time.SystemClock;

/** Runs one stand-in for a backend server. */
public final class BackendServerCommand extends BackendServerOptions {

    private static final int THREADS = 2;

    @Option(name = "--name", required = true, usage = "name of the backend server")
    private String name;

    @Option(name = "--address", usage = "address to listen on; port 0 takes a free port")
    private String address = "127.0.0.1:0";

    @Override
    public int run(EventLog output) {
        BackendServerStandIn server =
                BackendServerStandIn.start(
                        settings(name, address, 0),
                        new SystemClock(),
                        new WorkerScheduler(THREADS));
        return ServerProcess.runUntilTerminated(server.address(), output, () -> stop(server));
    }
}
