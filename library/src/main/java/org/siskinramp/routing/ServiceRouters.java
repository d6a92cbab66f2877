package org.siskinramp.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.configuration.Service;
import org.siskinramp.peer.AllowanceAsk;
import org.siskinramp.peer.AllowanceChange;
import org.siskinramp.peer.ColdSighting;
import org.siskinramp.peer.LoanAsk;
import org.siskinramp.peer.LoanGrant;
import org.siskinramp.peer.LoanReturn;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.peer.ServerAllowance;
import org.siskinramp.peer.ServiceSpare;
import org.siskinramp.routing.ServiceRouter.CoordinatedServer;
import org.siskinramp.slot.SlotHoldings;
import org.siskinramp.slot.SlotKey;

/** Holds one router for each service, and passes events and messages to the routers concerned. */
public final class ServiceRouters {

    private final Map<String, ServiceRouter> routers = new ConcurrentHashMap<>();
    private final Function<Service, ServiceRouter> factory;
    private volatile Configuration configuration = Configuration.empty();
    private volatile SlotHoldings holdings = SlotHoldings.NONE;

    /**
     * Creates the routers without services.
     *
     * @param factory creates the router of a new service
     */
    public ServiceRouters(Function<Service, ServiceRouter> factory) {
        this.factory = factory;
    }

    /**
     * Finds the router of a service.
     *
     * @param service the service's name
     * @return the router, or empty if there is no such service
     */
    public Optional<ServiceRouter> of(String service) {
        return Optional.ofNullable(routers.get(service));
    }

    /**
     * Applies a configuration. The router of a removed service stays, but has no servers and sends
     * nothing.
     *
     * @param newConfiguration the configuration
     */
    public synchronized void apply(Configuration newConfiguration) {
        configuration = newConfiguration;
        for (Service service : newConfiguration.services()) {
            routers.computeIfAbsent(service.name(), name -> factory.apply(service));
        }
        routers.values().forEach(router -> router.apply(newConfiguration));
        applyHoldings(holdings);
    }

    /**
     * Applies the slot assignment of the membership.
     *
     * @param newHoldings the slots that are now assigned to this host
     */
    public synchronized void applyHoldings(SlotHoldings newHoldings) {
        holdings = newHoldings;
        Map<String, Set<SlotKey>> byService = new TreeMap<>();
        for (SlotKey slot : newHoldings.slots()) {
            configuration
                    .backendServer(slot.backendServer())
                    .map(BackendServer::service)
                    .ifPresent(
                            service ->
                                    byService
                                            .computeIfAbsent(service, name -> new TreeSet<>())
                                            .add(slot));
        }
        routers.forEach(
                (service, router) ->
                        router.applyHoldings(byService.getOrDefault(service, Set.of())));
    }

    /** Does the periodic work of every service. */
    public void tick() {
        routers.values().forEach(ServiceRouter::tick);
    }

    /**
     * Handles a message of another entry host if it concerns the routing.
     *
     * @param host the sending host
     * @param message the message
     * @return false if the message does not concern the routing
     */
    public boolean receive(String host, PeerMessage message) {
        if (message instanceof LoanAsk ask) {
            of(ask.service()).ifPresent(router -> router.receive(host, ask));
        } else if (message instanceof LoanGrant grant) {
            of(grant.service()).ifPresent(router -> router.receive(host, grant));
        } else if (message instanceof LoanReturn loans) {
            of(loans.service()).ifPresent(router -> router.receive(host, loans));
        } else if (message instanceof AllowanceChange change) {
            routers.values().forEach(router -> router.applyReductions(change.allowances()));
        } else if (message instanceof ColdSighting sighting) {
            ofServer(
                    sighting.backendServer(),
                    router ->
                            router.handleColdSighting(
                                    sighting.backendServer(), sighting.bootIdentity()));
        } else if (message instanceof AllowanceAsk ask) {
            ofServer(ask.backendServer(), router -> router.listInHeartbeats(ask.backendServer()));
        } else {
            return false;
        }
        return true;
    }

    private void ofServer(String backendServer, Consumer<ServiceRouter> command) {
        configuration
                .backendServer(backendServer)
                .map(BackendServer::service)
                .flatMap(this::of)
                .ifPresent(command);
    }

    /**
     * Applies the allowances in a heartbeat of another entry host.
     *
     * @param listed the allowances that the heartbeat lists
     * @param omittedAsWarm the servers that the sender coordinates and omits because they are warm
     * @param earliestSentAt the earliest time at which the heartbeat may have been sent, in
     *     monotonic milliseconds of this host
     */
    public void applyAllowances(
            List<ServerAllowance> listed, List<String> omittedAsWarm, long earliestSentAt) {
        routers.values()
                .forEach(router -> router.applyAllowances(listed, omittedAsWarm, earliestSentAt));
    }

    /**
     * Records how many slots another entry host could lend.
     *
     * @param host the other host
     * @param lendableSlots the lendable slots by service; services that are missing have none
     */
    public void updateLendableSlots(String host, List<ServiceSpare> lendableSlots) {
        Map<String, Integer> byService = new TreeMap<>();
        lendableSlots.forEach(lendable -> byService.put(lendable.service(), lendable.slots()));
        routers.forEach(
                (service, router) ->
                        router.updateLendableSlots(host, byService.getOrDefault(service, 0)));
    }

    /**
     * Counts the slots that this host could lend.
     *
     * @return the lendable slots by service, without services that have none
     */
    public List<ServiceSpare> lendableSlots() {
        List<ServiceSpare> lendable = new ArrayList<>();
        routers.forEach(
                (service, router) -> {
                    int slots = router.countLendableSlots();
                    if (slots > 0) {
                        lendable.add(new ServiceSpare(service, slots));
                    }
                });
        return lendable;
    }

    /**
     * Counts the requests that wait for a slot.
     *
     * @return the number of waiting requests of all services
     */
    public int waitingRequests() {
        return routers.values().stream().mapToInt(ServiceRouter::waitingRequests).sum();
    }

    /**
     * Describes the current load of each service on this host.
     *
     * @return the loads in the order of the services' names
     */
    public List<ServiceLoad> load() {
        return new TreeMap<>(routers).values().stream().map(ServiceRouter::load).toList();
    }

    /**
     * Lists the servers whose warm-up coordinator this host is.
     *
     * @return the servers of all services
     */
    public List<CoordinatedServer> coordinatedServers() {
        return routers.values().stream()
                .flatMap(router -> router.coordinatedServers().stream())
                .toList();
    }
}
