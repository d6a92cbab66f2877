package org.siskinramp.ticket;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.configuration.Location;
import org.siskinramp.peer.ConfigurationPush;
import org.siskinramp.platform.Platform;
import org.siskinramp.platform.RowKey;
import org.siskinramp.platform.Write;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/**
 * Accepts change tickets and reads what they made.
 *
 * <pre>{@code
 * tickets.file(json).thenAccept(receipt -> print(receipt.version()));
 * }</pre>
 */
public final class Tickets {

    private final Platform platform;
    private final Clock clock;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final ConfigurationStore store;
    private volatile Consumer<ConfigurationPush> committedListener = change -> {};

    /**
     * Reaches the tickets of a platform.
     *
     * @param platform the platform, whose calls all end in time
     * @param clock tells when a ticket is accepted
     * @param scheduler runs retries
     * @param random spreads retries of operators that race
     */
    public Tickets(
            Platform platform, Clock clock, Scheduler scheduler, UniformRandomProvider random) {
        this.platform = Objects.requireNonNull(platform, "platform");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        this.random = Objects.requireNonNull(random, "random");
        this.store = new ConfigurationStore(platform);
    }

    /**
     * Files a ticket. Filing the same ticket again gives the same receipt.
     *
     * @param json the ticket as JSON text
     * @return the receipt; fails with {@code TICKET_INVALID}, {@code TICKET_CONFLICT}, {@code
     *     TICKET_STALE}, {@code PLATFORM_UNAVAILABLE} or {@code CONDITION_FAILED}, and nothing is
     *     changed, or with {@code TICKET_UNCONFIRMED} if filing it again must settle it
     */
    public CompletableFuture<TicketReceipt> file(String json) {
        Ticket ticket;
        try {
            ticket = Ticket.parse(json);
        } catch (ResultException failure) {
            return CompletableFuture.failedFuture(failure);
        }
        return run(ticket.number(), (snapshot, doubtful) -> plan(ticket, snapshot, doubtful));
    }

    private <T> CompletableFuture<T> run(long ticketNumber, Change<T> change) {
        return new ChangeRun<>(
                        store,
                        platform,
                        scheduler,
                        this::spread,
                        ticketNumber,
                        change,
                        this::announce)
                .start();
    }

    /**
     * Sets what is told of each change that this host has committed.
     *
     * @param newListener receives the change
     */
    public void onCommitted(Consumer<ConfigurationPush> newListener) {
        committedListener = newListener;
    }

    private void announce(List<Write> writes) {
        long version = 0;
        List<ConfigurationPush.PushedObject> objects = new ArrayList<>();
        for (Write write : writes) {
            String value = write.value().orElse("");
            if (write.key().equals(TicketRows.VERSION)) {
                version = Long.parseLong(value);
            } else if (write.key().table().equals(TicketRows.OBJECTS)) {
                objects.add(new ConfigurationPush.PushedObject(write.key().key(), value));
            }
        }
        committedListener.accept(new ConfigurationPush(version, objects));
    }

    private long spread(long milliseconds) {
        synchronized (random) {
            return random.nextLong(milliseconds) + 1;
        }
    }

    private Change.Plan<TicketReceipt> plan(Ticket ticket, Snapshot snapshot, boolean doubtful) {
        String content = TicketWriter.write(ticket).toString();
        if (snapshot.ticket().isPresent()) {
            FiledTicket filed = snapshot.ticket().get();
            if (!filed.content().equals(content)) {
                throw new ResultException(ResultCode.TICKET_CONFLICT, "number=" + ticket.number());
            }
            return Change.Plan.done(new TicketReceipt(ticket.number(), filed.version(), !doubtful));
        }
        Map<RowKey, ObjectNode> objects = TicketRows.objectsOf(ticket);
        requireNewer(ticket, objects, snapshot);
        TicketChecks.check(ticket, snapshot.configuration());
        long version = snapshot.version() + 1;
        List<Write> writes = new ArrayList<>();
        writes.add(snapshot.writeNextVersion());
        writes.add(
                Write.insert(
                        TicketRows.ticket(ticket.number()),
                        TicketRows.writeTicket(
                                new FiledTicket(
                                        ticket.number(),
                                        version,
                                        clock.calendarMilliseconds(),
                                        content))));
        objects.forEach(
                (key, object) -> writes.add(snapshot.writeObject(key, ticket.number(), object)));
        return Change.Plan.write(writes, new TicketReceipt(ticket.number(), version, false));
    }

    private static void requireNewer(
            Ticket ticket, Map<RowKey, ObjectNode> objects, Snapshot snapshot) {
        List<String> newer =
                objects.keySet().stream()
                        .filter(key -> snapshot.lastTicket(key) >= ticket.number())
                        .map(key -> key.key() + " by ticket " + snapshot.lastTicket(key))
                        .toList();
        if (!newer.isEmpty()) {
            throw new ResultException(ResultCode.TICKET_STALE, String.join(", ", newer));
        }
    }

    /**
     * Takes an availability zone or a host out of service, or brings it back.
     *
     * @param kind whether it is an availability zone or a host
     * @param name its name, which a ticket describes or a backend server names
     * @param state in or out
     * @return the receipt; fails with {@code OBJECT_UNKNOWN}, {@code PLATFORM_UNAVAILABLE} or
     *     {@code CONDITION_FAILED}, and nothing is changed, or with {@code TICKET_UNCONFIRMED} if
     *     it is not known whether it was changed
     * @throws IllegalArgumentException if the state is removed
     */
    public CompletableFuture<PlaceReceipt> changePlace(
            PlaceKind kind, String name, AdministrativeState state) {
        if (state == AdministrativeState.REMOVED) {
            throw new IllegalArgumentException("only a ticket removes an object");
        }
        return run(0, new PlaceChange(kind, new Location(name, state)));
    }

    /**
     * Shows an accepted ticket.
     *
     * @param number the number
     * @return the ticket; fails with {@code TICKET_UNKNOWN}
     */
    public CompletableFuture<FiledTicket> show(long number) {
        return platform.read(List.of(TicketRows.ticket(number)))
                .thenApply(
                        rows ->
                                rows.stream()
                                        .findFirst()
                                        .map(TicketRows::readTicket)
                                        .orElseThrow(
                                                () ->
                                                        new ResultException(
                                                                ResultCode.TICKET_UNKNOWN,
                                                                "number=" + number)));
    }

    /**
     * Lists accepted tickets in the order of their numbers.
     *
     * @param afterNumber the number to start behind, or 0
     * @param limit the greatest number of tickets, 1 to 1,000
     * @return the tickets
     */
    public CompletableFuture<List<FiledTicket>> list(long afterNumber, int limit) {
        return platform.scan(TicketRows.TICKETS, "", TicketRows.ticketKey(afterNumber), limit)
                .thenApply(rows -> rows.stream().map(TicketRows::readTicket).toList());
    }

    /**
     * Reads the configuration as it was at one version.
     *
     * @return the configuration; fails with {@code PLATFORM_UNAVAILABLE}
     */
    public CompletableFuture<Configuration> load() {
        return store.load(0).thenApply(Snapshot::configuration);
    }

    /**
     * Reads the newest version without the configuration.
     *
     * @return the version, or 0 before the first ticket
     */
    public CompletableFuture<Long> version() {
        return store.version();
    }

    /** Gives a place a state and keeps the number of its last ticket. */
    private static final class PlaceChange implements Change<PlaceReceipt> {

        private static final long NOT_PLANNED = -1;

        private final PlaceKind kind;
        private final Location place;
        private long plannedVersion = NOT_PLANNED;

        PlaceChange(PlaceKind kind, Location place) {
            this.kind = kind;
            this.place = place;
        }

        @Override
        public Plan<PlaceReceipt> plan(Snapshot snapshot, boolean doubtful) {
            RowKey key = TicketRows.object(kind.word(), place.name());
            AdministrativeState current = current(snapshot.configuration());
            if (current == place.state()) {
                return Plan.done(new PlaceReceipt(snapshot.version(), !doubtful));
            }
            if (doubtful && snapshot.rowVersion(key) > plannedVersion) {
                throw new ResultException(
                        ResultCode.TICKET_UNCONFIRMED,
                        place.name() + " was changed again by another command");
            }
            plannedVersion = snapshot.rowVersion(key);
            List<Write> writes =
                    List.of(
                            snapshot.writeNextVersion(),
                            snapshot.writeObject(
                                    key, snapshot.lastTicket(key), TicketWriter.write(place)));
            return Plan.write(writes, new PlaceReceipt(snapshot.version() + 1, false));
        }

        private AdministrativeState current(Configuration configuration) {
            Optional<Location> described =
                    kind == PlaceKind.HOST
                            ? configuration.host(place.name())
                            : configuration.availabilityZone(place.name());
            if (described.isEmpty()
                    && configuration.backendServers().stream().noneMatch(this::isNamedBy)) {
                throw new ResultException(
                        ResultCode.OBJECT_UNKNOWN, kind.word() + " " + place.name());
            }
            return described.map(Location::state).orElse(AdministrativeState.IN);
        }

        private boolean isNamedBy(BackendServer server) {
            String name = kind == PlaceKind.HOST ? server.host() : server.availabilityZone();
            return name.equals(place.name());
        }
    }
}
