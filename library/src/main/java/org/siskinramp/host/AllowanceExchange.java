package org.siskinramp.host;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.membership.HeartbeatContribution;
import org.siskinramp.membership.Membership;
import org.siskinramp.peer.Acknowledgement;
import org.siskinramp.peer.AllowanceAsk;
import org.siskinramp.peer.AllowanceChange;
import org.siskinramp.peer.ColdSighting;
import org.siskinramp.peer.Heartbeat;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.peer.PeerSender;
import org.siskinramp.peer.ServerAllowance;
import org.siskinramp.routing.ServiceRouter;
import org.siskinramp.routing.ServiceRouter.CoordinatedServer;
import org.siskinramp.routing.ServiceRouters;
import org.siskinramp.slot.SlotKey;

/**
 * Exchanges the allowances of backend servers between entry hosts.
 *
 * <p>The home of a server's slot 0 normally coordinates the server's warm-up. A heartbeat lists
 * only the servers that are not fully warm, those whose allowance a host has asked for recently,
 * those that the sender coordinates in place of their home, and those that the sender is the home
 * of but does not coordinate. All other servers whose slot 0 has its home at the sender are fully
 * warm, provided that both hosts act on the same versions.
 */
final class AllowanceExchange implements ServiceRouter.AllowanceMessenger {

    /**
     * The allowance of a server that the sender does not coordinate, although it is the home of the
     * server's slot 0.
     */
    private static final int NOT_COORDINATED = -1;

    private final HostIdentity identity;
    private final PeerSender peerSender;
    private final ServiceRouters routers;
    private Membership membership;
    private volatile Configuration configuration = Configuration.empty();

    AllowanceExchange(HostIdentity identity, PeerSender peerSender, ServiceRouters routers) {
        this.identity = identity;
        this.peerSender = peerSender;
        this.routers = routers;
    }

    void setMembership(Membership newMembership) {
        membership = newMembership;
    }

    void applyConfiguration(Configuration newConfiguration) {
        configuration = newConfiguration;
    }

    /**
     * Returns the part of this host's heartbeats that the routing supplies.
     *
     * @return the allowances of servers and the lendable slots
     */
    HeartbeatContribution contribution() {
        List<CoordinatedServer> coordinated = routers.coordinatedServers();
        Set<String> coordinatedNames =
                coordinated.stream()
                        .map(server -> server.allowance().backendServer())
                        .collect(Collectors.toSet());
        List<ServerAllowance> allowances = new ArrayList<>();
        for (CoordinatedServer server : coordinated) {
            boolean omitted =
                    server.mayBeOmitted()
                            && isHome(identity.name(), server.allowance().backendServer());
            if (!omitted) {
                allowances.add(server.allowance());
            }
        }
        for (BackendServer server : configuration.backendServers()) {
            if (!coordinatedNames.contains(server.name())
                    && isHome(identity.name(), server.name())) {
                allowances.add(new ServerAllowance(server.name(), NOT_COORDINATED, ""));
            }
        }
        return new HeartbeatContribution(allowances, coordinated.size(), routers.lendableSlots());
    }

    private boolean isHome(String host, String backendServer) {
        Optional<String> home = membership.home(new SlotKey(backendServer, 0));
        return home.isPresent() && home.get().equals(host);
    }

    /**
     * Applies the lendable slots and the allowances in a heartbeat. The allowances are ignored if
     * the heartbeat does not acknowledge one of this process, because their age is unknown then.
     *
     * @param host the sending host
     * @param heartbeat the heartbeat
     */
    void receive(String host, Heartbeat heartbeat) {
        routers.updateLendableSlots(host, heartbeat.lendableSlots());
        Optional<Acknowledgement> acknowledgement =
                heartbeat.acknowledgements().stream()
                        .filter(
                                acknowledged ->
                                        acknowledged.incarnation().equals(identity.incarnation()))
                        .findFirst();
        if (acknowledgement.isEmpty()) {
            return;
        }
        List<ServerAllowance> listed =
                heartbeat.allowances().stream()
                        .filter(allowance -> allowance.allowance() != NOT_COORDINATED)
                        .toList();
        routers.applyAllowances(
                listed,
                fullyWarmServers(host, heartbeat),
                acknowledgement.get().sentMilliseconds());
    }

    private List<String> fullyWarmServers(String host, Heartbeat heartbeat) {
        boolean sameVersions =
                heartbeat.configurationVersion() == configuration.version()
                        && heartbeat.viewVersion() == membership.view().version();
        if (!sameVersions) {
            return List.of();
        }
        Set<String> listed =
                heartbeat.allowances().stream()
                        .map(ServerAllowance::backendServer)
                        .collect(Collectors.toSet());
        return configuration.backendServers().stream()
                .map(BackendServer::name)
                .filter(name -> !listed.contains(name) && isHome(host, name))
                .toList();
    }

    /**
     * Sends a message to every other entry host.
     *
     * @param message the message
     */
    void broadcast(PeerMessage message) {
        membership.peers().forEach(peer -> peerSender.send(peer.name(), message));
    }

    @Override
    public void broadcastReduction(ServerAllowance allowance) {
        broadcast(new AllowanceChange(List.of(allowance)));
    }

    @Override
    public void reportColdSighting(String backendServer, String bootIdentity) {
        broadcast(new ColdSighting(backendServer, bootIdentity));
    }

    @Override
    public void requestAllowance(String backendServer) {
        membership
                .home(new SlotKey(backendServer, 0))
                .filter(host -> !host.equals(identity.name()))
                .ifPresent(host -> peerSender.send(host, new AllowanceAsk(backendServer)));
    }
}
