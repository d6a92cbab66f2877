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
 * Commits change tickets and state changes of locations to the platform's table service, and reads
 * tickets and the configuration that results from them.
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
    private volatile Consumer<ConfigurationPush> commitListener = change -> {};

    /**
     * Creates an instance that reads and writes the tickets of a platform.
     *
     * @param platform the platform, whose calls must all complete within a time limit
     * @param clock the clock for the time at which a ticket is accepted
     * @param scheduler runs retries
     * @param random the source of random retry delays, so that conflicting changes do not conflict
     *     again and again
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
     * Files a ticket. This is idempotent: filing the same ticket again returns the same receipt,
     * marked as repeated.
     *
     * @param json the ticket as JSON text
     * @return the receipt once the ticket is durable; fails with {@code TICKET_INVALID}, {@code
     *     TICKET_CONFLICT}, {@code TICKET_STALE}, {@code PLATFORM_UNAVAILABLE} or {@code
     *     CONDITION_FAILED}, and nothing is changed, or with {@code TICKET_UNCONFIRMED} if it may
     *     or may not have been accepted; filing it again resolves this
     */
    public CompletableFuture<TicketReceipt> file(String json) {
        Ticket ticket;
        try {
            ticket = Ticket.parse(json);
        } catch (ResultException failure) {
            return CompletableFuture.failedFuture(failure);
        }
        return run(
                ticket.number(),
                (snapshot, mayHaveCommitted) -> plan(ticket, snapshot, mayHaveCommitted));
    }

    private <T> CompletableFuture<T> run(long ticketNumber, ConfigurationChange<T> change) {
        return new ChangeExecution<>(
                        store,
                        platform,
                        scheduler,
                        this::randomDelay,
                        ticketNumber,
                        change,
                        this::notifyCommitListener)
                .start();
    }

    /**
     * Sets the listener that receives each change that this host commits.
     *
     * @param newListener receives the committed change
     */
    public void onCommitted(Consumer<ConfigurationPush> newListener) {
        commitListener = newListener;
    }

    private void notifyCommitListener(List<Write> writes) {
        long version = 0;
        List<ConfigurationPush.PushedObject> objects = new ArrayList<>();
        for (Write write : writes) {
            String value = write.value().orElse("");
            if (write.key().equals(TicketRows.VERSION_ROW_KEY)) {
                version = Long.parseLong(value);
            } else if (write.key().table().equals(TicketRows.OBJECTS_TABLE)) {
                objects.add(new ConfigurationPush.PushedObject(write.key().key(), value));
            }
        }
        commitListener.accept(new ConfigurationPush(version, objects));
    }

    private long randomDelay(long milliseconds) {
        synchronized (random) {
            return random.nextLong(milliseconds) + 1;
        }
    }

    private ConfigurationChange.Plan<TicketReceipt> plan(
            Ticket ticket, Snapshot snapshot, boolean mayHaveCommitted) {
        String content = TicketWriter.write(ticket).toString();
        if (snapshot.ticket().isPresent()) {
            FiledTicket filed = snapshot.ticket().get();
            if (!filed.content().equals(content)) {
                throw new ResultException(ResultCode.TICKET_CONFLICT, "number=" + ticket.number());
            }
            return ConfigurationChange.Plan.alreadyInForce(
                    new TicketReceipt(ticket.number(), filed.version(), !mayHaveCommitted));
        }
        Map<RowKey, ObjectNode> objects = TicketRows.objectsOf(ticket);
        requireNewer(ticket, objects, snapshot);
        TicketChecks.check(ticket, snapshot.configuration());
        long version = snapshot.version() + 1;
        List<Write> writes = new ArrayList<>();
        writes.add(snapshot.writeNextVersion());
        writes.add(
                Write.insert(
                        TicketRows.ticketRowKey(ticket.number()),
                        TicketRows.writeTicket(
                                new FiledTicket(
                                        ticket.number(),
                                        version,
                                        clock.calendarMilliseconds(),
                                        content))));
        objects.forEach(
                (key, object) -> writes.add(snapshot.writeObject(key, ticket.number(), object)));
        return ConfigurationChange.Plan.withWrites(
                writes, new TicketReceipt(ticket.number(), version, false));
    }

    private static void requireNewer(
            Ticket ticket, Map<RowKey, ObjectNode> objects, Snapshot snapshot) {
        List<String> newerObjects =
                objects.keySet().stream()
                        .filter(key -> snapshot.lastTicketNumber(key) >= ticket.number())
                        .map(key -> key.key() + " by ticket " + snapshot.lastTicketNumber(key))
                        .toList();
        if (!newerObjects.isEmpty()) {
            throw new ResultException(ResultCode.TICKET_STALE, String.join(", ", newerObjects));
        }
    }

    /**
     * Takes an availability zone or a host out of service, or brings it back.
     *
     * @param kind whether it is an availability zone or a host
     * @param name its name, which a ticket must have defined or a backend server must refer to
     * @param state the new state, in or out
     * @return the receipt; fails with {@code OBJECT_UNKNOWN}, {@code PLATFORM_UNAVAILABLE} or
     *     {@code CONDITION_FAILED}, and nothing is changed, or with {@code TICKET_UNCONFIRMED} if
     *     it is not known whether the state was changed
     * @throws IllegalArgumentException if the state is removed
     */
    public CompletableFuture<LocationReceipt> changeLocationState(
            LocationKind kind, String name, AdministrativeState state) {
        if (state == AdministrativeState.REMOVED) {
            throw new IllegalArgumentException(
                    "only a change ticket can remove an availability zone or a host");
        }
        return run(0, new LocationChange(kind, new Location(name, state)));
    }

    /**
     * Returns an accepted ticket.
     *
     * @param number the ticket's number
     * @return the ticket; fails with {@code TICKET_UNKNOWN} if no ticket of this number was
     *     accepted
     */
    public CompletableFuture<FiledTicket> show(long number) {
        return platform.read(List.of(TicketRows.ticketRowKey(number)))
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
     * @param afterNumber the number after which to start, or 0
     * @param limit the maximum number of tickets, 1 to 1,000
     * @return the tickets
     */
    public CompletableFuture<List<FiledTicket>> list(long afterNumber, int limit) {
        return platform.scan(TicketRows.TICKETS_TABLE, "", TicketRows.ticketKey(afterNumber), limit)
                .thenApply(rows -> rows.stream().map(TicketRows::readTicket).toList());
    }

    /**
     * Reads a consistent snapshot of the configuration.
     *
     * @return the configuration; fails with {@code PLATFORM_UNAVAILABLE}
     */
    public CompletableFuture<Configuration> load() {
        return store.load(0).thenApply(Snapshot::configuration);
    }

    /**
     * Reads the version of the newest configuration, but not the configuration.
     *
     * @return the version, or 0 before the first ticket
     */
    public CompletableFuture<Long> version() {
        return store.version();
    }

    /**
     * Changes the state of a location. The number of its last ticket stays, so that a ticket with a
     * lower number is still refused.
     */
    private static final class LocationChange implements ConfigurationChange<LocationReceipt> {

        private static final long NOT_PLANNED = -1;

        private final LocationKind kind;
        private final Location location;
        private long plannedVersion = NOT_PLANNED;

        LocationChange(LocationKind kind, Location location) {
            this.kind = kind;
            this.location = location;
        }

        @Override
        public Plan<LocationReceipt> plan(Snapshot snapshot, boolean mayHaveCommitted) {
            RowKey key = TicketRows.objectRowKey(kind.label(), location.name());
            AdministrativeState current = current(snapshot.configuration());
            if (current == location.state()) {
                return Plan.alreadyInForce(
                        new LocationReceipt(snapshot.version(), !mayHaveCommitted));
            }
            if (mayHaveCommitted && snapshot.rowVersion(key) > plannedVersion) {
                throw new ResultException(
                        ResultCode.TICKET_UNCONFIRMED,
                        location.name() + " was changed meanwhile by another command or ticket");
            }
            plannedVersion = snapshot.rowVersion(key);
            List<Write> writes =
                    List.of(
                            snapshot.writeNextVersion(),
                            snapshot.writeObject(
                                    key,
                                    snapshot.lastTicketNumber(key),
                                    TicketWriter.write(location)));
            return Plan.withWrites(writes, new LocationReceipt(snapshot.version() + 1, false));
        }

        private AdministrativeState current(Configuration configuration) {
            Optional<Location> configured =
                    kind == LocationKind.HOST
                            ? configuration.host(location.name())
                            : configuration.availabilityZone(location.name());
            if (configured.isEmpty()
                    && configuration.backendServers().stream().noneMatch(this::isNamedBy)) {
                throw new ResultException(
                        ResultCode.OBJECT_UNKNOWN, kind.label() + " " + location.name());
            }
            return configured.map(Location::state).orElse(AdministrativeState.IN);
        }

        private boolean isNamedBy(BackendServer server) {
            String name = kind == LocationKind.HOST ? server.host() : server.availabilityZone();
            return name.equals(location.name());
        }
    }
}
