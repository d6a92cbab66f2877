package org.siskinramp.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.peer.PeerSender;
import org.siskinramp.peer.QuotaAsk;
import org.siskinramp.peer.QuotaGrant;
import org.siskinramp.peer.QuotaNeed;
import org.siskinramp.peer.QuotaStamp;
import org.siskinramp.peer.QuotaSurplus;
import org.siskinramp.peer.QuotaTokens;
import org.siskinramp.quota.NeededWorkspaces;
import org.siskinramp.quota.QuotaLimiter;
import org.siskinramp.quota.QuotaTable;
import org.siskinramp.quota.TokenClock;
import org.siskinramp.quota.TransitBounds;
import org.siskinramp.time.Scheduler;

/**
 * Passes tokens of workspaces on between hosts, when callers of a workspace are connected to few
 * hosts. A host gives the tokens that it does not need to its reader, and asks the reader for those
 * that it lacks. Messages are sent only for workspaces of which some host needs tokens.
 */
public final class QuotaRelay {

    private static final long SURPLUS_INTERVAL_MILLISECONDS = 250;

    /** A reader passes on at once what it learns, and asks again for what its hosts wait for. */
    private static final long READER_TICK_MILLISECONDS = 50;

    /** While no workspace has a quota. */
    private static final long IDLE_TICK_MILLISECONDS = 1_000;

    /** Requests that arrive within this time share one ask. */
    private static final long ASK_INTERVAL_MILLISECONDS = 20;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final QuotaTable table;
    private final QuotaLimiter limiter;
    private final TokenClock clock;
    private final Scheduler scheduler;
    private final TransitBounds bounds;
    private final NeededWorkspaces needed;
    private volatile RelayTopology topology;
    private volatile PeerSender peerSender;
    private volatile Optional<String> currentReader = Optional.empty();
    private volatile String self = "";
    private QuotaReader readerPart;
    private long askedAt = NEVER;
    private boolean askScheduled;
    private long surplusGivenAt = NEVER;

    /**
     * Creates a relay, which must be started.
     *
     * @param table the quotas of the configuration in force
     * @param limiter the limiter of this host
     * @param clock the clock by which tokens age
     * @param scheduler runs delayed tasks
     * @param processStart a random positive number below 2^52 that identifies this process
     */
    public QuotaRelay(
            QuotaTable table,
            QuotaLimiter limiter,
            TokenClock clock,
            Scheduler scheduler,
            long processStart) {
        this.table = Objects.requireNonNull(table, "table");
        this.limiter = Objects.requireNonNull(limiter, "limiter");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        bounds = new TransitBounds(clock, processStart);
        needed = new NeededWorkspaces(table, clock);
    }

    /**
     * Starts to exchange messages with other hosts.
     *
     * @param selfName the name of this host
     * @param relayTopology provides the reader of this host and its role
     * @param peers sends messages to other hosts
     */
    public void start(String selfName, RelayTopology relayTopology, PeerSender peers) {
        synchronized (this) {
            self = Objects.requireNonNull(selfName, "selfName");
            readerPart = new QuotaReader(selfName, table, clock, bounds);
        }
        topology = Objects.requireNonNull(relayTopology, "relayTopology");
        peerSender = Objects.requireNonNull(peers, "peers");
        limiter.connect(relayTopology::hostCount, this::onNeed);
        tick();
    }

    /**
     * Receives a message of another host. Messages that are not about quotas are ignored.
     *
     * @param host the sender
     * @param message the message
     */
    public void receive(String host, PeerMessage message) {
        QuotaStamp stamp = stampOf(message);
        if (stamp != null && peerSender != null) {
            run(commands -> dispatch(host, message, bounds.receive(host, stamp), commands));
        }
    }

    private static QuotaStamp stampOf(PeerMessage message) {
        if (message instanceof QuotaSurplus surplus) {
            return surplus.stamp();
        }
        if (message instanceof QuotaAsk ask) {
            return ask.stamp();
        }
        return message instanceof QuotaGrant grant ? grant.stamp() : null;
    }

    /** Runs a command under the lock, then sends the messages and applies the grants. */
    private void run(Consumer<Commands> command) {
        Commands commands;
        synchronized (this) {
            commands = new Commands(new QuotaOutbox(self, bounds));
            command.accept(commands);
            PeerMessage local = commands.outbox.takeLocal();
            while (local != null) {
                dispatch(self, local, OptionalLong.of(0), commands);
                local = commands.outbox.takeLocal();
            }
        }
        commands.outbox.sendTo(peerSender);
        // The limiter completes requests, which must not happen under the lock of this relay.
        commands.grants.forEach(Runnable::run);
    }

    private void dispatch(
            String host, PeerMessage message, OptionalLong transit, Commands commands) {
        if (message instanceof QuotaSurplus surplus) {
            readerPart.onSurplus(host, surplus, transit, commands.outbox);
        } else if (message instanceof QuotaAsk ask) {
            readerPart.onAsk(host, ask, commands.outbox);
        } else if (message instanceof QuotaGrant grant && grant.toReader()) {
            readerPart.onGrant(host, grant, transit, commands.outbox);
        } else if (message instanceof QuotaGrant grant) {
            needed.add(grant.neededWorkspaces());
            transit.ifPresent(
                    bound -> commands.grants.add(() -> limiter.addGranted(grant.tokens(), bound)));
        }
    }

    /** Asks the reader for tokens, at once or soon after the last time. */
    private void onNeed() {
        long waitMilliseconds;
        synchronized (this) {
            if (askScheduled) {
                return;
            }
            waitMilliseconds = askedAt + ASK_INTERVAL_MILLISECONDS - clock.milliseconds();
            askScheduled = waitMilliseconds > 0;
        }
        if (waitMilliseconds > 0) {
            scheduler.schedule(waitMilliseconds, this::askReader);
        } else {
            askReader();
        }
    }

    private void askReader() {
        synchronized (this) {
            askScheduled = false;
            askedAt = clock.milliseconds();
        }
        Optional<String> reader = currentReader;
        List<QuotaNeed> needs = limiter.takeNeeds();
        if (reader.isPresent() && !needs.isEmpty()) {
            run(commands -> commands.outbox.ask(reader.get(), false, needs));
        }
    }

    private void tick() {
        long intervalMilliseconds = IDLE_TICK_MILLISECONDS;
        try {
            if (table.hasQuotas()) {
                intervalMilliseconds = SURPLUS_INTERVAL_MILLISECONDS;
                currentReader = topology.source();
                limiter.setReaderPresent(currentReader.isPresent());
                limiter.tick();
                giveSurplus();
                if (topology.isReader()) {
                    intervalMilliseconds = READER_TICK_MILLISECONDS;
                    tickReader();
                }
            }
        } finally {
            scheduler.schedule(intervalMilliseconds, this::tick);
        }
    }

    private void giveSurplus() {
        List<String> workspaces;
        Optional<String> reader = currentReader;
        synchronized (this) {
            long now = clock.milliseconds();
            boolean isDue =
                    needed.takeNew() || now - surplusGivenAt >= SURPLUS_INTERVAL_MILLISECONDS;
            surplusGivenAt = isDue ? now : surplusGivenAt;
            // The reader drops tokens in a message that does not answer one of its own.
            boolean isAccepted =
                    reader.filter(host -> host.equals(self) || bounds.hasHeard(host)).isPresent();
            workspaces = isDue && isAccepted ? needed.current() : List.of();
        }
        List<QuotaTokens> surplus =
                workspaces.isEmpty() ? List.of() : limiter.takeSurplus(workspaces);
        if (!surplus.isEmpty()) {
            run(commands -> commands.outbox.surplus(reader.orElseThrow(), false, surplus));
        }
    }

    private void tickReader() {
        List<String> readers = topology.readers();
        List<String> subscribers = topology.subscribers();
        run(commands -> readerPart.tick(readers, subscribers, commands.outbox));
    }

    /** What a command leaves to be done without the lock. */
    private static final class Commands {

        private final QuotaOutbox outbox;
        private final List<Runnable> grants = new ArrayList<>();

        private Commands(QuotaOutbox outbox) {
            this.outbox = outbox;
        }
    }
}
