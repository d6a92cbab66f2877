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
import org.siskinramp.request.CallerConnection;
import org.siskinramp.request.Request;
import org.siskinramp.result.Futures;
import org.siskinramp.route.Route;
import org.siskinramp.route.RouteTable;
import org.siskinramp.route.WeightedServiceSelector;
import org.siskinramp.routing.DeferredActions;

/**
 * Serves requests according to the route table on the backend servers that published themselves.
 *
 * <pre>{@code
 * Gateway gateway = new Gateway(environment, GatewayOptions.builder().build(), assumedHosts);
 * gateway.updateRoutes(routes);
 * gateway.putServer(entry);
 * gateway.handle(request, route).whenComplete(this::answerCaller);
 * }</pre>
 *
 * <p>If a caller disconnects, cancel the future: this cancels the attempts of its request.
 */
public final class Gateway {

    private final ReentrantLock lock = new ReentrantLock();
    private final GatewayEnvironment environment;
    private final GatewayOptions options;
    private final Fleet fleet;
    private final WeightedServiceSelector serviceSelector = new WeightedServiceSelector();
    private final Map<String, ServicePool> pools = new HashMap<>();
    private volatile RouteTable routes = RouteTable.EMPTY;
    private final HostShare hostShare;
    private final Quarantine quarantine;
    private final AnnouncementHandler announcements;
    private final ProbeSender probeSender;
    private final CrashDetector crashDetector;
    private int requestsInProgress;

    /**
     * Creates a gateway without routes and servers that does not share its quarantine.
     *
     * @param environment external dependencies
     * @param options limits and budgets
     * @param assumedHosts how many hosts are assumed to share the budgets until they are counted
     */
    public Gateway(GatewayEnvironment environment, GatewayOptions options, int assumedHosts) {
        this(
                environment,
                options,
                assumedHosts,
                new Quarantine(environment.clock(), environment.eventLog()),
                CrashReporter.NONE);
    }

    /**
     * Creates a gateway without routes and servers that shares its quarantine with other hosts.
     *
     * @param environment external dependencies
     * @param options limits and budgets
     * @param assumedHosts how many hosts are assumed to share the budgets until they are counted
     * @param quarantine the requests that crashed backend servers
     * @param reporter receives the crashes that this host confirms
     */
    public Gateway(
            GatewayEnvironment environment,
            GatewayOptions options,
            int assumedHosts,
            Quarantine quarantine,
            CrashReporter reporter) {
        this.environment = environment;
        this.fleet = new Fleet(environment.serverGate());
        this.options = options;
        this.hostShare =
                new HostShare(
                        assumedHosts,
                        environment.clock().monotonicMilliseconds(),
                        options.retryWindowMilliseconds());
        this.quarantine = quarantine;
        this.announcements = new AnnouncementHandler(environment, fleet, hostShare);
        this.probeSender = new ProbeSender(environment, this::runLocked, announcements);
        this.crashDetector =
                new CrashDetector(environment, this::runLocked, probeSender, quarantine, reporter);
    }

    /**
     * Replaces the route table by a newer version. Ignores an older version, since a change that
     * has taken effect must not be reverted.
     *
     * @param newer the newer route table
     */
    public void updateRoutes(RouteTable newer) {
        runLocked(
                deferred -> {
                    if (newer.version() <= routes.version()) {
                        return;
                    }
                    routes = newer;
                    record(
                            LogEvent.named("configuration")
                                    .with("version", newer.version())
                                    .with("routes", newer.routeCount())
                                    .with("services", newer.services().size()));
                    processAllQueues(deferred);
                });
    }

    /**
     * Updates the number of hosts, which determines this host's share of the budgets.
     *
     * @param hostCount the number of hosts, including this one
     */
    public void updateHostCount(int hostCount) {
        if (hostShare.hostCount() != hostCount) {
            record(
                    LogEvent.named("hosts_counted")
                            .with("hosts", hostCount)
                            .with("hosts_before", hostShare.hostCount()));
        }
        hostShare.updateHostCount(hostCount);
    }

    /**
     * Returns how many hosts share the budgets.
     *
     * @return the counted number, or the assumed one until hosts have been counted
     */
    public int hostCount() {
        return hostShare.hostCount();
    }

    /**
     * Returns the route table in effect on this host.
     *
     * @return the route table; version 0 until the first one was received
     */
    public RouteTable routes() {
        return routes;
    }

    /**
     * Adds or updates a backend server.
     *
     * @param entry the published entry of the server
     */
    public void putServer(ServerEntry entry) {
        runLocked(
                deferred -> {
                    if (isRestart(entry)) {
                        crashDetector.confirmCrash(entry.server().name(), "new_start", deferred);
                    }
                    if (fleet.put(entry, now())) {
                        logEntry(entry);
                        processAllQueues(deferred);
                    }
                });
    }

    private boolean isRestart(ServerEntry entry) {
        return fleet.find(entry.server().name())
                .filter(known -> entry.startedMilliseconds() > known.entry().startedMilliseconds())
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
                        .with("cold_ms", entry.remainingWarmUpMilliseconds())
                        .with("born", entry.startedMilliseconds())
                        .with("sequence", entry.sequence()));
    }

    /**
     * Removes a backend server whose entry is gone, after a grace period.
     *
     * @param name the server's name
     * @param graceMilliseconds the grace period in milliseconds, within which a live server
     *     publishes itself again; 0 if the server was able to renew its entry
     */
    public void removeServer(String name, long graceMilliseconds) {
        runLocked(
                deferred -> {
                    if (graceMilliseconds == 0) {
                        crashDetector.confirmCrash(name, "entry_gone", deferred);
                    }
                    if (fleet.remove(name, now() + graceMilliseconds)) {
                        record(
                                LogEvent.named("server_gone")
                                        .with("backend_server", name)
                                        .with("kept_ms", graceMilliseconds));
                        processAllQueues(deferred);
                    }
                });
    }

    /**
     * Removes the servers in their grace period at once, because it is now known that there was no
     * recent read gap, in which entries of live servers could have expired.
     */
    public void endGracePeriods() {
        Set<String> names = new HashSet<>();
        runLocked(deferred -> names.addAll(fleet.namesInGracePeriod(now())));
        names.forEach(name -> removeServer(name, 0));
    }

    /**
     * Replaces all backend servers: servers without an entry in the collection are removed.
     *
     * @param entries the entries of all servers
     * @param graceMilliseconds the grace period of removed servers in milliseconds, as in {@link
     *     #removeServer}
     */
    public void replaceServers(Collection<ServerEntry> entries, long graceMilliseconds) {
        Set<String> missing = new HashSet<>();
        runLocked(deferred -> missing.addAll(fleet.names()));
        for (ServerEntry entry : entries) {
            missing.remove(entry.server().name());
            putServer(entry);
        }
        missing.forEach(name -> removeServer(name, graceMilliseconds));
    }

    /**
     * Sets the evacuated availability zones.
     *
     * @param zones the availability zones whose servers must receive no requests
     */
    public void setEvacuatedZones(Set<String> zones) {
        runLocked(
                deferred -> {
                    if (!fleet.evacuatedZones().equals(zones)) {
                        fleet.setEvacuatedZones(zones);
                        record(
                                LogEvent.named("evacuation")
                                        .with("availability_zones", String.join(",", zones)));
                        processAllQueues(deferred);
                    }
                });
    }

    /**
     * Chooses the service of the next request of a route, according to the shares of its services.
     *
     * @param route the route
     * @return the name of the service
     */
    public String assignService(Route route) {
        lock.lock();
        try {
            return serviceSelector.next(route);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Sends a request to a backend server and returns its answer.
     *
     * @param request the request, with a service from {@link #assignService}
     * @param route its route
     * @return the complete answer; fails with a {@link org.siskinramp.result.ResultException} whose
     *     code tells whether the request certainly did not run; cancelling the future cancels the
     *     attempts of the request
     */
    public CompletableFuture<Answer> handle(Request request, Route route) {
        return handle(request, route, CallerConnection.ALWAYS_OPEN);
    }

    /**
     * Sends a request to a backend server and returns its answer, unless the caller leaves before.
     *
     * @param request the request, with a service from {@link #assignService}
     * @param route its route
     * @param callerConnection is asked, without a lock held, right before each attempt is sent
     * @return the complete answer, as in {@link #handle(Request, Route)}
     */
    public CompletableFuture<Answer> handle(
            Request request, Route route, CallerConnection callerConnection) {
        RequestContext context = new RequestContext(request, route, callerConnection);
        CompletableFuture<Answer> answer = context.answer();
        environment.counters().add(Counter.REQUESTS);
        runLocked(
                deferred -> {
                    requestsInProgress++;
                    submit(context, answer, deferred);
                });
        Futures.whenDone(
                answer, (ended, failure) -> runLocked(deferred -> handleDone(context, deferred)));
        return answer;
    }

    private void submit(
            RequestContext context, CompletableFuture<Answer> answer, DeferredActions deferred) {
        try {
            pool(context.request().service()).submit(context, deferred);
        } catch (RuntimeException | Error failure) {
            deferred.add(() -> answer.completeExceptionally(failure));
            throw failure;
        }
    }

    /** Cancels the request if its future was cancelled before the gateway completed it. */
    private void handleDone(RequestContext context, DeferredActions deferred) {
        requestsInProgress--;
        if (!context.isCompleted()) {
            pool(context.request().service()).cancel(context, deferred);
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
                                this::runLocked,
                                this::routes,
                                hostShare,
                                crashDetector,
                                probeSender,
                                announcements));
    }

    /**
     * Applies new quarantined contents: clears those that recently completed on this host's
     * attempts, and refuses waiting requests with quarantined content.
     *
     * @param contents the content hashes of the quarantined requests
     */
    public void applyQuarantine(List<String> contents) {
        runLocked(
                deferred -> {
                    crashDetector.clearRecentlyCompleted(contents, deferred);
                    pools.values().forEach(pool -> pool.refuseQuarantined(deferred));
                });
    }

    /**
     * Runs periodic work: drops expired state, probes rate limited servers, and starts searches for
     * waiting requests.
     */
    public void tick() {
        runLocked(
                deferred -> {
                    fleet.removeExpired(now());
                    crashDetector.dropExpired();
                    pools.values().forEach(pool -> pool.tick(deferred));
                    processAllQueues(deferred);
                });
    }

    private void processAllQueues(DeferredActions deferred) {
        pools.values().forEach(pool -> pool.processQueue(deferred));
    }

    /**
     * Returns the number of requests that have not completed.
     *
     * @return the number of requests, waiting or sent to a backend server
     */
    public int requestsInProgress() {
        lock.lock();
        try {
            return requestsInProgress;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the number of requests that wait for a backend server.
     *
     * @return the number of waiting requests of all services
     */
    public int requestsWaiting() {
        lock.lock();
        try {
            return pools.values().stream().mapToInt(ServicePool::waitingCount).sum();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the number of quarantined requests, counting copies of a request once.
     *
     * @return the number of quarantined contents
     */
    public int quarantinedRequests() {
        return quarantine.quarantinedRequests().size();
    }

    /**
     * Returns the number of backend servers that may receive new requests.
     *
     * @return the number of servers that are in rotation, not paused and in no evacuated
     *     availability zone
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

    /** Runs a command. Its failure is logged only, since nothing is left behind. */
    private void runLocked(Consumer<DeferredActions> command) {
        try {
            DeferredActions.runLocked(lock, command);
        } catch (RuntimeException | Error failure) {
            environment.counters().add(Counter.INVARIANT_VIOLATIONS);
            record(LogEvent.named("command_failed").with("cause", failure));
        }
    }

    private void record(LogEvent event) {
        environment.eventLog().record(event);
    }

    private long now() {
        return environment.clock().monotonicMilliseconds();
    }
}
