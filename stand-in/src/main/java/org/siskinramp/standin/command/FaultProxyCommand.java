package org.siskinramp.standin.command;

import org.kohsuke.args4j.Option;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.standin.proxy.FaultProxy;
import org.siskinramp.time.SystemClock;

/** Runs a TCP proxy that injects faults into connections on request. */
public final class FaultProxyCommand implements StandInCommand {

    @Option(name = "--listen", usage = "address to accept connections on")
    private String listen = "127.0.0.1:0";

    @Option(name = "--target", required = true, usage = "address to forward connections to")
    private String target;

    @Option(name = "--control", usage = "address of the HTTP interface that sets the faults")
    private String control = "127.0.0.1:0";

    @Override
    public int run(EventLog output) {
        FaultProxy proxy = FaultProxy.start(listen, target, control, new SystemClock());
        output.record(LogEvent.named("control").with("address", proxy.controlAddress()));
        return ServerProcess.runUntilTerminated(proxy.address(), output, proxy::close);
    }
}
