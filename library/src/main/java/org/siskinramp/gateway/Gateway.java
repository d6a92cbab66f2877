package org.siskinramp.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.siskinramp.fleet.Fleet;
import org.siskinramp.fleet.KnownServer;
import org.siskinramp.fleet.ServerEntry;
import org.siskinramp.log.Counter;
import org.siskinramp.log.LogEvent;
import org.siskinramp.quarantine.CrashReporter;
import org.siskinramp.quarantine.Quarantine;
import org.siskinramp.request.Answer;
import org.siskinramp.request.Request;
import org.siskinramp.result.Futures;
import org.siskinramp.route.Route;
import org.siskinramp.route.RouteTable;
import org.siskinramp.route.SplitChoice;
import org.siskinramp.routing.Effects;

/**
 * Serves the requests of routes on the backend servers that published themselves.
 *
 * <pre>{@code
 * Gateway gateway = new Gateway(environment, GatewayOptions.builder().build());
 * gateway.follow(routes);
 * gateway.put(entry);
 * gateway.handle(request, route).whenComplete(this::answerCaller);
 * }</pre>
 *
 * <p>A caller that leaves cancels the future, which stops the work on its request.
 */
public final class Gateway {

    private final ReentrantLock lock = new ReentrantLock();
    private final GatewayEnvironment environment;
    private final GatewayOptions options;
    private final Fleet fleet = new Fleet();
    private final SplitChoice splits = new SplitChoice();
    private final Map<String, ServicePool> pools = new HashMap<>();
    private volatile RouteTable routes = RouteTable.EMPTY;
    private final HostCount hosts;
    private final Quarantine quarantine;
    private final Announcements announcements;
    private final Probes probes;
    private final CrashWatch crashes;
    private int inProgress;

    /**
     * Creates a gateway that knows neither routes nor servers.
     *
     * @param environment what it uses of the outside
     * @param options times, counts and budgets
     * @param hosts how many hosts to assume that share the budgets until they are counted
     */
    public Gateway(GatewayEnvironment environment, GatewayOptions options, int hosts) {
        this(
                environment,
                options,
                hosts,
                new Quarantine(environment.clock(), environment.eventLog()),
                CrashReporter.NONE);
    }

    /**
     * Creates a gateway that shares with others which requests end backend servers.
     *
     * @param environment what it uses of the outside
     * @param options times, counts and budgets
     * @param hosts how many hosts to assume that share the budgets until they are counted
     * @param quarantine what is known of requests that end backend servers
     * @param reporter is told what this host proves
     */
    public Gateway(
            GatewayEnvironment environment,
            GatewayOptions options,
            int hosts,
            Quarantine quarantine,
            CrashReporter reporter) {
        this.environment = environment;
        this.options = options;
        this.hosts =
                new HostCount(
                        hosts,
                        environment.clock().monotonicMilliseconds(),
                        options.retryWindowMilliseconds());
        this.quarantine = quarantine;
        this.announcements = new Announcements(environment, fleet);
        this.probes = new Probes(environment, this::locked, announcements);
        this.crashes = new CrashWatch(environment, this::locked, probes, quarantine, reporter);
    }

    /**
     * Follows a newer version of the routes. An older one is passed over, since a change that was
     * seen in force must not revert.
     *
     * @param newer the routes
     */
    public void follow(RouteTable newer) {
        locked(
                effects -> {
                    if (newer.version() <= routes.version()) {
                        return;
                    }
                    routes = newer;
                    record(
                            LogEvent.named("configuration")
                                    .with("version", newer.version())
                                    .with("routes", newer.routeCount())
                                    .with("services", newer.services().size()));
                    pumpAll(effects);
                });
    }

    /**
     * Follows the number of hosts, whose parts of the shared budgets change with it.
     *
     * @param counted how many hosts there are, this one included
     */
    public void followHosts(int counted) {
        if (hosts.hosts() != counted) {
            record(
                    LogEvent.named("hosts_counted")
                            .with("hosts", counted)
                            .with("hosts_before", hosts.hosts()));
        }
        hosts.follow(counted);
    }

    /**
     * Returns how many hosts share the budgets.
     *
     * @return the number that is assumed or was counted
     */
    public int hosts() {
        return hosts.hosts();
    }

    /**
     * Returns the routes in force on this host.
     *
     * @return the routes, version 0 before the first
     */
    public RouteTable routes() {
        return routes;
    }

    /**
     * Takes the entry of a backend server in.
     *
     * @param entry the entry
     */
    public void put(ServerEntry entry) {
        locked(
                effects -> {
                    if (isNewStart(entry)) {
                        crashes.ended(entry.server().name(), "new_start", effects);
                    }
                    if (fleet.put(entry, now())) {
                        logEntry(entry);
                        pumpAll(effects);
                    }
                });
    }

    private boolean isNewStart(ServerEntry entry) {
        return fleet.find(entry.server().name())
                .filter(known -> entry.bornMilliseconds() > known.entry().bornMilliseconds())
                .isPresent();
    }

    private void logEntry(ServerEntry entry) {
        record(
                LogEvent.named("server")
                        .with("backend_server", entry.server().name())
                        .with("service", entry.server().service())
                        .with("to_availability_zone", entry.server().availabilityZone())
                        .with("address", entry.server().address())
                        .with("leaving", entry.leaving())
                        .with("cold_ms", entry.coldMilliseconds())
                        .with("born", entry.bornMilliseconds())
                        .with("sequence", entry.sequence()));
    }

    /**
     * Notes that the entry of a backend server is gone.
     *
     * @param name the server's name
     * @param keptMilliseconds how long a live server may take to publish itself again; 0 if its
     *     entry went while it could have been renewed
     */
    public void remove(String name, long keptMilliseconds) {
        locked(
                effects -> {
                    if (keptMilliseconds == 0) {
                        crashes.ended(name, "entry_gone", effects);
                    }
                    if (fleet.remove(name, now() + keptMilliseconds)) {
                        record(
                                LogEvent.named("server_gone")
                                        .with("backend_server", name)
                                        .with("kept_ms", keptMilliseconds));
                        pumpAll(effects);
                    }
                });
    }

    /**
     * Takes servers as gone whose entries went and which are kept, since it has become known that
     * these entries did not lapse.
     */
    public void dropLapsed() {
        Set<String> kept = new HashSet<>();
        locked(effects -> kept.addAll(fleet.kept(now())));
        kept.forEach(name -> remove(name, 0));
    }

    /**
     * Takes all entries in: those that are not among them are gone.
     *
     * @param entries all entries
     * @param keptMilliseconds as in {@link #remove}
     */
    public void putAll(Collection<ServerEntry> entries, long keptMilliseconds) {
        Set<String> missing = new HashSet<>();
        locked(effects -> missing.addAll(fleet.names()));
        for (ServerEntry entry : entries) {
            missing.remove(entry.server().name());
            put(entry);
        }
        missing.forEach(name -> remove(name, keptMilliseconds));
    }

    /**
     * Follows the evacuations.
     *
     * @param zones the availability zones whose servers must get nothing
     */
    public void evacuate(Set<String> zones) {
        locked(
                effects -> {
                    if (!fleet.evacuatedZones().equals(zones)) {
                        fleet.evacuate(zones);
                        record(
                                LogEvent.named("evacuation")
                                        .with("availability_zones", String.join(",", zones)));
                        pumpAll(effects);
                    }
                });
    }

    /**
     * Chooses the service of a request among the shares of its route.
     *
     * @param route the route
     * @return the service's name
     */
    public String assign(Route route) {
        lock.lock();
        try {
            return splits.next(route);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Runs a request.
     *
     * @param request the request, whose service was assigned
     * @param route its route
     * @return the whole answer; fails with a {@link org.siskinramp.result.ResultException} whose
     *     code tells whether the request certainly did not run; cancelling it stops the work
     */
    public CompletableFuture<Answer> handle(Request request, Route route) {
        GatewayRun run = new GatewayRun(request, route);
        environment.counters().add(Counter.REQUESTS);
        locked(
                effects -> {
                    inProgress++;
                    pool(request.service()).submit(run, effects);
                });
        Futures.whenDone(run.answer(), (answer, failure) -> locked(effects -> ended(run, effects)));
        return run.answer();
    }

    /** A run that has not ended when its future is done was cancelled by the caller. */
    private void ended(GatewayRun run, Effects effects) {
        inProgress--;
        if (!run.isEnded()) {
            pool(run.request().service()).cancel(run, effects);
        }
    }

    private ServicePool pool(String service) {
        return pools.computeIfAbsent(
                service,
                name ->
                        new ServicePool(
                                name,
                                environment,
                                options,
                                fleet,
                                this::locked,
                                this::routes,
                                hosts,
                                crashes,
                                probes,
                                announcements));
    }

    /**
     * Takes requests that are refused from now on: waiting copies are refused, and those that this
     * host saw running to their end just before are acquitted.
     *
     * @param contents their fingerprints
     */
    public void holdBack(List<String> contents) {
        locked(
                effects -> {
                    crashes.review(contents, effects);
                    pools.values().forEach(pool -> pool.refuseHeldBack(effects));
                });
    }

    /** Does what is due without another event. */
    public void tick() {
        locked(
                effects -> {
                    fleet.sweep(now());
                    crashes.sweep();
                    pumpAll(effects);
                });
    }

    private void pumpAll(Effects effects) {
        pools.values().forEach(pool -> pool.pump(effects));
    }

    /**
     * Counts the requests that have not ended.
     *
     * @return the requests in progress or waiting
     */
    public int inProgress() {
        lock.lock();
        try {
            return inProgress;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Counts the requests that wait for a backend server.
     *
     * @return the waiting requests of all services
     */
    public int waiting() {
        lock.lock();
        try {
            return pools.values().stream().mapToInt(ServicePool::waiting).sum();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Counts the requests that are refused since they end backend servers.
     *
     * @return the requests, copies not counted
     */
    public int quarantinedRequests() {
        return quarantine.contents().size();
    }

    /**
     * Counts the backend servers that may get new requests.
     *
     * @return the servers that are present and not evacuated
     */
    public int usableServers() {
        lock.lock();
        try {
            int usable = 0;
            for (KnownServer server : fleet.all()) {
                usable += fleet.isUsable(server, now()) ? 1 : 0;
            }
            return usable;
        } finally {
            lock.unlock();
        }
    }

    private void locked(Consumer<Effects> command) {
        Effects.runLocked(lock, command);
    }

    private void record(LogEvent event) {
        environment.eventLog().record(event);
    }

    private long now() {
        return environment.clock().monotonicMilliseconds();
    }
}
