package org.siskinramp.daemon;

import jakarta.inject.Inject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.siskinramp.daemon.administration.query.AdministrationQueries;
import org.siskinramp.daemon.administration.query.HostStatus;
import org.siskinramp.daemon.administration.query.PeerStatus;
import org.siskinramp.daemon.administration.query.RequestHistory;
import org.siskinramp.daemon.administration.query.ServiceStatus;
import org.siskinramp.daemon.administration.query.TicketDetail;
import org.siskinramp.daemon.administration.query.TicketSummary;
import org.siskinramp.daemon.settings.Settings;
import org.siskinramp.host.EntryHost;
import org.siskinramp.host.HostIdentity;
import org.siskinramp.membership.Member;
import org.siskinramp.membership.PeerVersions;
import org.siskinramp.request.RequestKey;
import org.siskinramp.ticket.FiledTicket;

/** Answers queries from the state of this entry host, the journals and the stored tickets. */
final class LibraryQueries implements AdministrationQueries {

    private static final int TICKETS_PER_PAGE = 1_000;

    /** The age that is reported for a peer from which no heartbeat has arrived. */
    private static final long NO_HEARTBEAT = -1;

    private final HostIdentity identity;
    private final EntryHost entryHost;
    private final long leaseMilliseconds;

    @Inject
    LibraryQueries(HostIdentity identity, EntryHost entryHost, Settings settings) {
        this.identity = identity;
        this.entryHost = entryHost;
        this.leaseMilliseconds = settings.control().leaseMilliseconds();
    }

    @Override
    public CompletableFuture<List<TicketSummary>> tickets() {
        return ticketsAfter(0, List.of());
    }

    private CompletableFuture<List<TicketSummary>> ticketsAfter(
            long number, List<TicketSummary> previous) {
        return entryHost
                .tickets()
                .list(number, TICKETS_PER_PAGE)
                .thenCompose(
                        page -> {
                            List<TicketSummary> all = new ArrayList<>(previous);
                            page.forEach(ticket -> all.add(summary(ticket)));
                            return page.size() < TICKETS_PER_PAGE
                                    ? CompletableFuture.completedFuture(all)
                                    : ticketsAfter(page.get(page.size() - 1).number(), all);
                        });
    }

    private static TicketSummary summary(FiledTicket ticket) {
        return new TicketSummary(
                ticket.number(), ticket.version(), ticket.filedCalendarMilliseconds());
    }

    @Override
    public CompletableFuture<TicketDetail> ticket(long number) {
        return entryHost.tickets().show(number).thenApply(this::detail);
    }

    private TicketDetail detail(FiledTicket ticket) {
        List<String> inForce = new ArrayList<>();
        List<String> pending = new ArrayList<>();
        List<String> silent = new ArrayList<>();
        addTo(
                entryHost.configuration().version() >= ticket.version() ? inForce : pending,
                identity.name());
        for (PeerStatus peer : peers()) {
            if (peer.suspected()) {
                addTo(silent, peer.host());
            } else if (peer.configurationVersion() >= ticket.version()) {
                addTo(inForce, peer.host());
            } else {
                addTo(pending, peer.host());
            }
        }
        return new TicketDetail(summary(ticket), ticket.content(), inForce, pending, silent);
    }

    private static void addTo(List<String> hosts, String host) {
        hosts.add(host);
    }

    private List<PeerStatus> peers() {
        Map<String, PeerVersions> versions =
                entryHost.membership().peerVersions().stream()
                        .collect(Collectors.toMap(PeerVersions::host, Function.identity()));
        return entryHost.membership().peers().stream()
                .map(Member::name)
                .map(name -> peerStatus(name, versions.get(name)))
                .toList();
    }

    private PeerStatus peerStatus(String name, PeerVersions versions) {
        if (versions == null) {
            return new PeerStatus(name, NO_HEARTBEAT, true, 0);
        }
        return new PeerStatus(
                name,
                versions.lastHeartbeatAgeMilliseconds(),
                versions.lastHeartbeatAgeMilliseconds() >= leaseMilliseconds,
                versions.configurationVersion());
    }

    @Override
    public CompletableFuture<RequestHistory> request(RequestKey key) {
        return entryHost.inquiry().show(key).thenApply(RequestHistoryConverter::convert);
    }

    @Override
    public CompletableFuture<HostStatus> status() {
        List<ServiceStatus> services =
                entryHost.serviceLoads().stream()
                        .map(
                                load ->
                                        new ServiceStatus(
                                                load.service(),
                                                load.heldSlots(),
                                                load.busySlots(),
                                                load.waitingRequests()))
                        .toList();
        return CompletableFuture.completedFuture(
                new HostStatus(
                        identity.name(),
                        identity.availabilityZone(),
                        identity.incarnation(),
                        isReady(),
                        entryHost.hasAuthority(),
                        entryHost.configuration().version(),
                        entryHost.membership().view().version(),
                        entryHost.requestsInProgress(),
                        peers(),
                        services));
    }

    @Override
    public boolean isReady() {
        return entryHost.isReady();
    }
}
