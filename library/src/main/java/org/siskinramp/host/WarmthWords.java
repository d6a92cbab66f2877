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
import org.siskinramp.routing.ServiceRouter.JudgedServer;
import org.siskinramp.routing.ServiceRouters;
import org.siskinramp.slot.SlotKey;

/**
 * Carries what judges say of backend servers between entry hosts.
 *
 * <p>A heartbeat names only the servers that are not fully warm, those that the sender judges in
 * another host's place, and those that it should judge but does not. All other servers whose slot 0
 * has its home at the sender are warm, as long as both ends act on the same versions.
 */
final class WarmthWords implements ServiceRouter.ServerWords {

    /** Stands for a server that the sender does not judge, although it is the home of slot 0. */
    private static final int NOT_JUDGED = -1;

    private final HostIdentity identity;
    private final PeerSender peerSender;
    private final ServiceRouters routers;
    private Membership membership;
    private volatile Configuration configuration = Configuration.empty();

    WarmthWords(HostIdentity identity, PeerSender peerSender, ServiceRouters routers) {
        this.identity = identity;
        this.peerSender = peerSender;
        this.routers = routers;
    }

    void connect(Membership newMembership) {
        membership = newMembership;
    }

    void apply(Configuration newConfiguration) {
        configuration = newConfiguration;
    }

    /**
     * Composes what this host adds to its heartbeats.
     *
     * @return the words on servers and the idle slots
     */
    HeartbeatContribution contribution() {
        List<JudgedServer> judged = routers.judgedServers();
        Set<String> judgedNames =
                judged.stream()
                        .map(server -> server.allowance().backendServer())
                        .collect(Collectors.toSet());
        List<ServerAllowance> words = new ArrayList<>();
        for (JudgedServer server : judged) {
            boolean implied =
                    server.warm() && isHome(identity.name(), server.allowance().backendServer());
            if (!implied) {
                words.add(server.allowance());
            }
        }
        for (BackendServer server : configuration.backendServers()) {
            if (!judgedNames.contains(server.name()) && isHome(identity.name(), server.name())) {
                words.add(new ServerAllowance(server.name(), NOT_JUDGED, ""));
            }
        }
        return new HeartbeatContribution(words, judged.size(), routers.spares());
    }

    private boolean isHome(String host, String backendServer) {
        Optional<String> home = membership.home(new SlotKey(backendServer, 0));
        return home.isPresent() && home.get().equals(host);
    }

    /**
     * Follows the words in a heartbeat. A heartbeat that does not show when it was sent is passed
     * over.
     *
     * @param host the sending host
     * @param heartbeat the heartbeat
     */
    void receive(String host, Heartbeat heartbeat) {
        routers.hearSpares(host, heartbeat.spares());
        Optional<Acknowledgement> acknowledgement =
                heartbeat.acknowledgements().stream()
                        .filter(heard -> heard.incarnation().equals(identity.incarnation()))
                        .findFirst();
        if (acknowledgement.isEmpty()) {
            return;
        }
        List<ServerAllowance> explicit =
                heartbeat.allowances().stream()
                        .filter(word -> word.allowance() != NOT_JUDGED)
                        .toList();
        routers.hearWords(
                explicit, implicit(host, heartbeat), acknowledgement.get().sentMilliseconds());
    }

    private List<String> implicit(String host, Heartbeat heartbeat) {
        boolean sameVersions =
                heartbeat.configurationVersion() == configuration.version()
                        && heartbeat.viewVersion() == membership.view().version();
        if (!sameVersions) {
            return List.of();
        }
        Set<String> named =
                heartbeat.allowances().stream()
                        .map(ServerAllowance::backendServer)
                        .collect(Collectors.toSet());
        return configuration.backendServers().stream()
                .map(BackendServer::name)
                .filter(name -> !named.contains(name) && isHome(host, name))
                .toList();
    }

    /**
     * Sends a message to every other entry host.
     *
     * @param message the message
     */
    void announce(PeerMessage message) {
        membership.peers().forEach(peer -> peerSender.send(peer.name(), message));
    }

    @Override
    public void tellReduction(ServerAllowance allowance) {
        announce(new AllowanceChange(List.of(allowance)));
    }

    @Override
    public void tellSighting(String backendServer, String bootIdentity) {
        announce(new ColdSighting(backendServer, bootIdentity));
    }

    @Override
    public void askForWord(String backendServer) {
        membership
                .home(new SlotKey(backendServer, 0))
                .filter(host -> !host.equals(identity.name()))
                .ifPresent(host -> peerSender.send(host, new AllowanceAsk(backendServer)));
    }
}
