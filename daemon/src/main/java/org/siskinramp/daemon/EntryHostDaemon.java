package org.siskinramp.daemon;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;
import org.siskinramp.daemon.administration.AdministrationServer;
import org.siskinramp.daemon.backend.JettyBackendServerLink;
import org.siskinramp.daemon.caller.CallerServer;
import org.siskinramp.daemon.peer.PeerLink;
import org.siskinramp.daemon.platform.HttpPlatform;
import org.siskinramp.daemon.settings.Settings;
import org.siskinramp.daemon.worker.Workers;
import org.siskinramp.host.EntryHost;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;

/** Starts and stops the parts of an entry host in order. */
@Singleton
final class EntryHostDaemon {

    private final Settings settings;
    private final HttpPlatform platform;
    private final JettyBackendServerLink backendServers;
    private final PeerLink peers;
    private final EntryHost entryHost;
    private final CallerServer callers;
    private final AdministrationServer administration;
    private final HostGauges gauges;
    private final EntryHostShutdown shutdown;
    private final Workers workers;
    private final EventLog eventLog;
    private final AtomicBoolean stopping = new AtomicBoolean();

    @Inject
    EntryHostDaemon(
            Settings settings,
            HttpPlatform platform,
            JettyBackendServerLink backendServers,
            PeerLink peers,
            EntryHost entryHost,
            CallerServer callers,
            AdministrationServer administration,
            HostGauges gauges,
            EntryHostShutdown shutdown,
            Workers workers,
            EventLog eventLog) {
        this.settings = settings;
        this.platform = platform;
        this.backendServers = backendServers;
        this.peers = peers;
        this.entryHost = entryHost;
        this.callers = callers;
        this.administration = administration;
        this.gauges = gauges;
        this.shutdown = shutdown;
        this.workers = workers;
        this.eventLog = eventLog;
    }

    void start() throws IOException {
        gauges.register();
        platform.start();
        backendServers.start();
        peers.start();
        entryHost.start();
        callers.start();
        administration.start();
        eventLog.record(
                LogEvent.named("started")
                        .with("caller_address", hostAddress() + ":" + callers.port())
                        .with("peer_port", peers.port())
                        .with("administration_address", administration.address()));
    }

    private String hostAddress() {
        return settings.callerSide().address().getAddress().getHostAddress();
    }

    /**
     * Returns the address of the administration API.
     *
     * @return the address that it listens on
     */
    InetSocketAddress administrationAddress() {
        return administration.address();
    }

    /**
     * Shuts down gracefully. Requests that are still in progress after the stop timeout of the
     * settings are cut off.
     *
     * @return false if stopping a part failed; true otherwise, also if an earlier call has begun to
     *     stop them
     */
    boolean stop() {
        if (!stopping.compareAndSet(false, true)) {
            return true;
        }
        boolean graceful = shutdown.run();
        try {
            callers.stop();
            backendServers.stop();
            peers.stop();
            platform.stop();
            administration.stop();
            workers.stop();
            eventLog.record(LogEvent.named("stopped").with("whole", graceful));
            return true;
        } catch (IOException | RuntimeException failure) {
            eventLog.record(LogEvent.named("stop_failed").with("cause", failure));
            return false;
        }
    }
}
