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
import org.siskinramp.routing.ServiceRouter.JudgedServer;
import org.siskinramp.slot.SlotHoldings;
import org.siskinramp.slot.SlotKey;

/** Keeps one router for each service and hands each of them what concerns it. */
public final class ServiceRouters {

    private final Map<String, ServiceRouter> routers = new ConcurrentHashMap<>();
    private final Function<Service, ServiceRouter> factory;
    private volatile Configuration configuration = Configuration.empty();
    private volatile SlotHoldings holdings = SlotHoldings.NONE;

    /**
     * Creates an empty collection.
     *
     * @param factory makes the router of a new service
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
     * Follows a configuration. A service that is gone keeps its router until it is idle; its
     * servers are gone, so it sends nothing.
     *
     * @param newConfiguration the configuration
     */
    public synchronized void apply(Configuration newConfiguration) {
        configuration = newConfiguration;
        for (Service service : newConfiguration.services()) {
            routers.computeIfAbsent(service.name(), name -> factory.apply(service));
        }
        routers.values().forEach(router -> router.apply(newConfiguration));
        hold(holdings);
    }

    /**
     * Follows the membership's decision on slots.
     *
     * @param newHoldings the slots that this host holds now
     */
    public synchronized void hold(SlotHoldings newHoldings) {
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
                (service, router) -> router.hold(byService.getOrDefault(service, Set.of())));
    }

    /** Does what is due in every service without another event. */
    public void tick() {
        routers.values().forEach(ServiceRouter::tick);
    }

    /**
     * Takes a message of another entry host that concerns the routing.
     *
     * @param host the sending host
     * @param message the message
     * @return false if the message is of another kind
     */
    public boolean receive(String host, PeerMessage message) {
        if (message instanceof LoanAsk ask) {
            of(ask.service()).ifPresent(router -> router.receive(host, ask));
        } else if (message instanceof LoanGrant grant) {
            of(grant.service()).ifPresent(router -> router.receive(host, grant));
        } else if (message instanceof LoanReturn loans) {
            of(loans.service()).ifPresent(router -> router.receive(host, loans));
        } else if (message instanceof AllowanceChange change) {
            routers.values().forEach(router -> router.hearReductions(change.allowances()));
        } else if (message instanceof ColdSighting sighting) {
            ofServer(
                    sighting.backendServer(),
                    router ->
                            router.hearSighting(sighting.backendServer(), sighting.bootIdentity()));
        } else if (message instanceof AllowanceAsk ask) {
            ofServer(ask.backendServer(), router -> router.nameServer(ask.backendServer()));
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
     * Follows the words in a heartbeat of another entry host.
     *
     * @param explicit the servers that the heartbeat names
     * @param implicit the servers that the sender judges and left out as warm
     * @param given a time, in monotonic milliseconds of this host, that the words are not older
     *     than
     */
    public void hearWords(List<ServerAllowance> explicit, List<String> implicit, long given) {
        routers.values().forEach(router -> router.hearWords(explicit, implicit, given));
    }

    /**
     * Takes in how many slots another entry host could lend.
     *
     * @param host the other host
     * @param spares idle slots by service; services that are left out have none
     */
    public void hearSpares(String host, List<ServiceSpare> spares) {
        Map<String, Integer> byService = new TreeMap<>();
        spares.forEach(spare -> byService.put(spare.service(), spare.slots()));
        routers.forEach(
                (service, router) -> router.hearSpare(host, byService.getOrDefault(service, 0)));
    }

    /**
     * Counts the slots that this host could lend.
     *
     * @return idle usable own slots by service, without services that have none
     */
    public List<ServiceSpare> spares() {
        List<ServiceSpare> spares = new ArrayList<>();
        routers.forEach(
                (service, router) -> {
                    int slots = router.spare();
                    if (slots > 0) {
                        spares.add(new ServiceSpare(service, slots));
                    }
                });
        return spares;
    }

    /**
     * Counts the requests that wait in all services.
     *
     * @return the number of waiting requests
     */
    public int waiting() {
        return routers.values().stream().mapToInt(ServiceRouter::waiting).sum();
    }

    /**
     * Describes the work of each service.
     *
     * @return the work in the order of the services' names
     */
    public List<ServiceWork> work() {
        return new TreeMap<>(routers).values().stream().map(ServiceRouter::work).toList();
    }

    /**
     * Lists the servers that this host judges.
     *
     * @return the judged servers of all services
     */
    public List<JudgedServer> judgedServers() {
        return routers.values().stream()
                .flatMap(router -> router.judgedServers().stream())
                .toList();
    }
}
