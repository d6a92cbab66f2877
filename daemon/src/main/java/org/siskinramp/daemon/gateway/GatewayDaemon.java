package org.siskinramp.daemon.gateway;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.function.IntSupplier;
import org.siskinramp.daemon.backend.JettyBackendServerLink;
import org.siskinramp.daemon.caller.CallerServer;
import org.siskinramp.daemon.caller.ManagementPage;
import org.siskinramp.daemon.metrics.Metrics;
import org.siskinramp.daemon.settings.GatewaySettings;
import org.siskinramp.daemon.worker.Workers;
import org.siskinramp.follow.ChangeFollower;
import org.siskinramp.gateway.Gateway;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.time.Clock;

/** Starts and stops the parts of a gateway process in order. */
public final class GatewayDaemon {

    private static final long TICK_INTERVAL_MILLISECONDS = 500;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final String TEXT = "text/plain";

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final GatewaySettings settings;
    private final Gateway gateway;
    private final CallerServer callers;
    private final JettyBackendServerLink backendServers;
    private final List<ChangeFollower<?>> followers;
    private final List<Runnable> startActions;
    private final Metrics metrics;
    private final Workers workers;
    private final EventLog eventLog;
    private final GatewayShutdown shutdown;
    private final DelayMonitor delayMonitor;
    private volatile boolean stopping;

    private GatewayDaemon(Builder builder) {
        settings = Objects.requireNonNull(builder.settings, "settings");
        gateway = Objects.requireNonNull(builder.gateway, "gateway");
        callers = Objects.requireNonNull(builder.callers, "callers");
        backendServers = Objects.requireNonNull(builder.backendServers, "backendServers");
        followers = List.copyOf(builder.followers);
        startActions = List.copyOf(builder.startActions);
        metrics = Objects.requireNonNull(builder.metrics, "metrics");
        workers = Objects.requireNonNull(builder.workers, "workers");
        eventLog = Objects.requireNonNull(builder.eventLog, "eventLog");
        shutdown =
                new GatewayShutdown(
                        gateway,
                        callers,
                        builder.graceMilliseconds,
                        Objects.requireNonNull(builder.clock, "clock"),
                        workers,
                        eventLog);
        delayMonitor = new DelayMonitor(builder.clock, eventLog);
    }

    /**
     * Returns a builder for a daemon.
     *
     * @return an empty builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Starts all parts, the listener for callers first. Until the routes are known, requests are
     * refused with a retry-after delay.
     *
     * @param readinessPath the path of the page that reports whether this host is ready
     * @param metricsPath the path of the metrics page
     */
    public void start(String readinessPath, String metricsPath) {
        IntSupplier readinessPort =
                callers.addPage(settings.pages().readiness(), readinessPath, this::readinessPage);
        IntSupplier metricsPort =
                callers.addPage(settings.pages().metrics(), metricsPath, this::metricsPage);
        registerGauges();
        callers.start();
        backendServers.start();
        startActions.forEach(Runnable::run);
        followers.forEach(ChangeFollower::start);
        scheduleTick();
        eventLog.record(
                LogEvent.named("started")
                        .with("caller_address", settings.callers().address())
                        .with("caller_port", callers.port())
                        .with("readiness_port", readinessPort.getAsInt())
                        .with("metrics_port", metricsPort.getAsInt())
                        .with("store", settings.store().address())
                        .with("routing", settings.routing())
                        .with("operator_figures", settings.operatorLimits()));
    }

    private void registerGauges() {
        metrics.register(
                "siskinramp_configuration_version",
                "Version of the routes in force.",
                () -> gateway.routes().version());
        metrics.register(
                "siskinramp_requests_in_progress",
                "Requests that have not ended.",
                gateway::requestsInProgress);
        metrics.register(
                "siskinramp_requests_waiting",
                "Requests that wait for a backend server.",
                gateway::requestsWaiting);
        metrics.register(
                "siskinramp_quarantined_requests",
                "Requests that are refused since they end backend servers.",
                gateway::quarantinedRequests);
        metrics.registerCounter(
                "siskinramp_process_delays",
                "How often the process ran at least 0.2 s late.",
                delayMonitor::delays);
        metrics.register("siskinramp_hosts", "Hosts that share the budgets.", gateway::hostCount);
        metrics.register(
                "siskinramp_backend_servers_usable",
                "Backend servers that may get new requests.",
                gateway::usableServers);
        followers.forEach(this::registerFollowerMetrics);
    }

    private void registerFollowerMetrics(ChangeFollower<?> follower) {
        metrics.registerCounter(
                "siskinramp_" + follower.name() + "_store_restores",
                "How often the table came back from an older copy.",
                follower::restores);
        metrics.register(
                "siskinramp_" + follower.name() + "_store_era",
                "Era of the store in which the table was read; rises when it is restored.",
                follower::era);
        metrics.register(
                "siskinramp_" + follower.name() + "_read_age_seconds",
                "Seconds since the table was read, by this host or by its source.",
                () ->
                        follower.isSynced()
                                ? follower.ageMilliseconds() / MILLISECONDS_PER_SECOND
                                : Double.NaN);
    }

    private void tick() {
        delayMonitor.taskStarted();
        try {
            gateway.tick();
        } finally {
            scheduleTick();
        }
    }

    private void scheduleTick() {
        delayMonitor.taskScheduled(TICK_INTERVAL_MILLISECONDS);
        workers.schedule(TICK_INTERVAL_MILLISECONDS, this::tick);
    }

    private ManagementPage readinessPage() {
        boolean ready = isReady();
        byte[] body = (ready ? "ready\n" : "not ready\n").getBytes(StandardCharsets.UTF_8);
        return new ManagementPage(ready ? OK : UNAVAILABLE, TEXT, body);
    }

    /** A host is ready once it knows routes and all followers are synced, until it shuts down. */
    private boolean isReady() {
        return !stopping
                && gateway.routes().version() > 0
                && followers.stream().allMatch(ChangeFollower::isSynced);
    }

    private ManagementPage metricsPage() {
        return new ManagementPage(OK, Metrics.CONTENT_TYPE, metrics.exposition());
    }

    /** Shuts down; requests in progress are completed as far as the grace time allows. */
    public void stop() {
        stopping = true;
        shutdown.run();
        followers.forEach(ChangeFollower::stop);
    }

    /** Collects the parts of a daemon. */
    public static final class Builder {

        private GatewaySettings settings;
        private Gateway gateway;
        private CallerServer callers;
        private JettyBackendServerLink backendServers;
        private List<ChangeFollower<?>> followers = List.of();
        private List<Runnable> startActions = List.of();
        private Metrics metrics;
        private Workers workers;
        private EventLog eventLog;
        private Clock clock;
        private long graceMilliseconds;

        private Builder() {}

        /**
         * Sets the settings.
         *
         * @param value the checked settings
         * @return this builder
         */
        public Builder settings(GatewaySettings value) {
            settings = value;
            return this;
        }

        /**
         * Sets the gateway.
         *
         * @param value dispatches requests to backend servers
         * @return this builder
         */
        public Builder gateway(Gateway value) {
            gateway = value;
            return this;
        }

        /**
         * Sets the server for callers.
         *
         * @param value accepts requests of callers
         * @return this builder
         */
        public Builder callers(CallerServer value) {
            callers = value;
            return this;
        }

        /**
         * Sets the link to backend servers.
         *
         * @param value sends attempts and probes
         * @return this builder
         */
        public Builder backendServers(JettyBackendServerLink value) {
            backendServers = value;
            return this;
        }

        /**
         * Sets the followers to start, whose tables must have been read before this host is ready.
         *
         * @param value the followers
         * @return this builder
         */
        public Builder followers(List<ChangeFollower<?>> value) {
            followers = value;
            return this;
        }

        /**
         * Sets actions that run before the followers start.
         *
         * @param value the actions
         * @return this builder
         */
        public Builder startActions(List<Runnable> value) {
            startActions = value;
            return this;
        }

        /**
         * Sets the metrics.
         *
         * @param value the metrics
         * @return this builder
         */
        public Builder metrics(Metrics value) {
            metrics = value;
            return this;
        }

        /**
         * Sets the worker threads.
         *
         * @param value runs delayed tasks
         * @return this builder
         */
        public Builder workers(Workers value) {
            workers = value;
            return this;
        }

        /**
         * Sets the event log.
         *
         * @param value receives events
         * @return this builder
         */
        public Builder eventLog(EventLog value) {
            eventLog = value;
            return this;
        }

        /**
         * Sets the clock.
         *
         * @param value tells the time
         * @return this builder
         */
        public Builder clock(Clock value) {
            clock = value;
            return this;
        }

        /**
         * Sets how long a graceful shutdown may take.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder graceMilliseconds(long value) {
            graceMilliseconds = value;
            return this;
        }

        /**
         * Builds the daemon.
         *
         * @return the daemon, to be started by {@link GatewayDaemon#start}
         */
        public GatewayDaemon build() {
            return new GatewayDaemon(this);
        }
    }
}
