package org.siskinramp.standin.command;

import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.siskinramp.log.EventLog;
import org.siskinramp.platform.ListedHost;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.standin.WorkerScheduler;
import org.siskinramp.standin.platform.PlatformSettings;
import org.siskinramp.standin.platform.PlatformStandIn;
import org.siskinramp.time.SystemClock;

/** Runs a stand-in for the platform's table service, object store and host list. */
public final class PlatformCommand implements StandInCommand {

    private static final int THREADS = 2;
    private static final int HOST_FIELDS = 3;

    @Option(name = "--address", usage = "address to listen on; port 0 takes a free port")
    private String address = "127.0.0.1:0";

    @Option(name = "--write-delay-ms", usage = "duration of a write, in milliseconds")
    private long writeDelayMilliseconds;

    @Option(name = "--read-delay-ms", usage = "duration of a read, in milliseconds")
    private long readDelayMilliseconds;

    @Option(name = "--host-list-delay-ms", usage = "lag of the host list, in milliseconds")
    private long hostListDelayMilliseconds;

    @Option(name = "--writes-per-second", usage = "maximum writes per second; 0 for no limit")
    private int writesPerSecond;

    @Option(name = "--reads-per-second", usage = "maximum reads per second; 0 for no limit")
    private int readsPerSecond;

    @Option(
            name = "--host",
            metaVar = "NAME/AVAILABILITY_ZONE/PEER_ADDRESS",
            usage = "an entry host that is listed from the start; may be given several times")
    private List<String> hosts = new ArrayList<>();

    @Override
    public int run(EventLog output) {
        PlatformSettings settings =
                new PlatformSettings(
                        address,
                        writeDelayMilliseconds,
                        readDelayMilliseconds,
                        hostListDelayMilliseconds,
                        writesPerSecond,
                        readsPerSecond,
                        hosts.stream().map(PlatformCommand::listedHost).toList());
        PlatformStandIn platform =
                PlatformStandIn.start(settings, new SystemClock(), new WorkerScheduler(THREADS));
        return ServerProcess.runUntilTerminated(platform.address(), output, platform::close);
    }

    private static ListedHost listedHost(String text) {
        String[] parts = text.split("/", -1);
        if (parts.length != HOST_FIELDS) {
            throw new ResultException(
                    ResultCode.USAGE, "a host is name/availability zone/address, not " + text);
        }
        return new ListedHost(parts[0], parts[1], parts[2], false);
    }
}
