package org.siskinramp.relay;

import java.util.List;
import java.util.Objects;
import org.siskinramp.peer.FeedNews;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.peer.PeerSender;
import org.siskinramp.peer.RolloutNews;
import org.siskinramp.rollout.RolloutCoordinator;
import org.siskinramp.rollout.RolloutReport;
import org.siskinramp.rollout.RolloutRows;
import org.siskinramp.rollout.RolloutTable;
import org.siskinramp.time.Scheduler;

/**
 * Spreads the orders of roll-outs and their stages. A host that learns something new tells its
 * subscribers at once; the host that read it from the store also tells the readers, since it may be
 * no reader itself. Readers and other hosts with subscribers repeat all they know, so that lost
 * messages are made up for. Sends nothing while there are no orders.
 */
public final class RolloutRelay {

    private static final long TICK_MILLISECONDS = 200;

    /** A lost message is made up for within a second. */
    private static final int REPEAT_INTERVAL_TICKS = 5;

    /**
     * A host that is no reader tells this many readers what it read from the store. If it told all,
     * the messages would grow with the square of the number of hosts when all start together.
     */
    private static final int READERS_TOLD = 2;

    private final RolloutTable table;
    private final RolloutCoordinator coordinator;
    private final Scheduler scheduler;
    private volatile RelayTopology topology;
    private volatile PeerSender peerSender;
    private int ticks;

    /**
     * Creates a relay, which must be started.
     *
     * @param table the orders that this host knows
     * @param coordinator records their stages in the store
     * @param scheduler runs delayed tasks
     */
    public RolloutRelay(RolloutTable table, RolloutCoordinator coordinator, Scheduler scheduler) {
        this.table = Objects.requireNonNull(table, "table");
        this.coordinator = Objects.requireNonNull(coordinator, "coordinator");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    }

    /**
     * Starts to exchange messages with other hosts and to record stages.
     *
     * @param relayTopology provides the readers and subscribers
     * @param peers sends messages to other hosts
     */
    public void start(RelayTopology relayTopology, PeerSender peers) {
        topology = Objects.requireNonNull(relayTopology, "relayTopology");
        peerSender = Objects.requireNonNull(peers, "peers");
        scheduler.schedule(TICK_MILLISECONDS, this::tick);
    }

    /**
     * Returns a sender that tells a host of the orders before it tells it of backend servers, so
     * that a host that just started does not send requests to the target of an order.
     *
     * @param peers sends the messages
     * @return the sender for updates of the servers table
     */
    public PeerSender withOrdersFirst(PeerSender peers) {
        return (host, message) -> {
            if (message instanceof FeedNews update && !update.servers().isEmpty()) {
                announceTo(List.of(host));
            }
            peers.send(host, message);
        };
    }

    /**
     * Applies what this host read from the operator table.
     *
     * @param rows the orders
     */
    public void onRows(RolloutRows rows) {
        if (table.apply(rows) && topology != null) {
            List<String> readers = topology.readers();
            boolean tellsAll = topology.isReader() || readers.size() <= READERS_TOLD;
            announceTo(tellsAll ? readers : readers.subList(0, READERS_TOLD));
            announceToSubscribers();
        }
    }

    /**
     * Receives a message of another host, and replies if the other host knows less of an order, as
     * it does after a restart. Messages of other kinds are ignored.
     *
     * @param host the sender
     * @param message the message
     */
    public void receive(String host, PeerMessage message) {
        if (!(message instanceof RolloutNews news)) {
            return;
        }
        if (table.merge(news.reports())) {
            announceToSubscribers();
        }
        if (topology != null && table.isAheadOf(news.reports())) {
            announceTo(List.of(host));
        }
    }

    private void announceToAll() {
        if (topology != null) {
            announceTo(topology.readers());
            announceToSubscribers();
        }
    }

    private void announceToSubscribers() {
        if (topology != null) {
            announceTo(topology.subscribers());
        }
    }

    private void announceTo(List<String> hosts) {
        List<RolloutReport> reports = table.reports();
        if (!reports.isEmpty()) {
            hosts.forEach(host -> peerSender.send(host, new RolloutNews(reports)));
        }
    }

    private void tick() {
        try {
            ticks++;
            table.removeExpired();
            coordinator.tick(this::announceToAll);
            if (ticks % REPEAT_INTERVAL_TICKS == 0) {
                announceToSubscribers();
            }
        } finally {
            scheduler.schedule(TICK_MILLISECONDS, this::tick);
        }
    }
}
