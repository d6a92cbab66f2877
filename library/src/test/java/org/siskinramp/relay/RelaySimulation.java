package org.siskinramp.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.siskinramp.fleet.ServerEntry;
import org.siskinramp.follow.ChangeFollower;
import org.siskinramp.follow.ChangeSource;
import org.siskinramp.follow.Changes;
import org.siskinramp.follow.EvacuatedZones;
import org.siskinramp.follow.GatewayFeed;
import org.siskinramp.follow.OperatorChange;
import org.siskinramp.follow.ServerChange;
import org.siskinramp.follow.StoreVersion;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.peer.SeedName;
import org.siskinramp.quarantine.Crash;
import org.siskinramp.quarantine.CrashRowChange;
import org.siskinramp.quarantine.Quarantine;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.route.CallerLimits;
import org.siskinramp.route.Route;
import org.siskinramp.route.RouteTable;
import org.siskinramp.time.Scheduler;
import org.siskinramp.time.VirtualTime;
import org.siskinramp.workspace.WorkspaceTable;

/**
 * Simulates a store and hosts with relays in virtual time, with crashes, partitions and outages.
 */
final class RelaySimulation {

    static final long SERVER_STALENESS_LIMIT_MILLISECONDS = 1_500;
    static final long OPERATOR_STALENESS_LIMIT_MILLISECONDS = 1_500;
    private static final long CALL_MILLISECONDS = 5;
    private static final long STORE_TIMEOUT_MILLISECONDS = 700;
    private static final long START_INTERVAL_MILLISECONDS = 40;
    private static final CallerLimits LIMITS = new CallerLimits(1, 1, 1, 1);

    final VirtualTime time = new VirtualTime();
    final Map<String, Host> hosts = new LinkedHashMap<>();
    final Set<String> partitionedFromStore = new HashSet<>();
    final Set<String> partitionedFromHosts = new HashSet<>();

    /** Hosts whose calls the store rejects at once. */
    final Set<String> rejectedByStore = new HashSet<>();

    boolean storeUnavailable;
    List<Route> routes = List.of();
    Optional<WorkspaceTable> workspaces = Optional.empty();

    /** Receives all messages, and tells which are lost. */
    Predicate<PeerMessage> isLost = message -> false;

    List<String> seeds = List.of();
    int storeCalls;
    int operatorSnapshotReads;

    /** How often the store sent the whole configuration to a host. */
    int configurationReads;

    int messages;
    long messageDelayMilliseconds = 1;
    private final Map<String, Row> rows = new TreeMap<>();
    private final Map<String, Crash> crashes = new TreeMap<>();
    private final boolean firstStart;
    private long version = 1;
    private long era = 1;
    private Map<String, Row> copiedRows = Map.of();
    private Map<String, Crash> copiedCrashes = Map.of();
    private long copiedVersion;

    /** The way in which the hosts start. */
    enum Start {
        /** All at once, with the first-start option set. */
        FIRST,
        /** All at once, with entries from an earlier run in the hosts table. */
        AGAIN,
        /** One after the other, without the first-start option. */
        NEW_ONE_BY_ONE
    }

    RelaySimulation(int count) {
        this(count, Start.FIRST);
    }

    RelaySimulation(int count, Start start) {
        this.firstStart = start == Start.FIRST;
        write("op/config");
        for (int number = 0; number < count; number++) {
            String name = "host-" + number;
            hosts.put(name, new Host(name, "zone-" + number % 3));
        }
        if (start == Start.AGAIN) {
            hosts.keySet().forEach(name -> write("hosts/" + name));
        }
        long intervalMilliseconds = start == Start.NEW_ONE_BY_ONE ? START_INTERVAL_MILLISECONDS : 0;
        long startAt = 0;
        for (Host host : hosts.values()) {
            time.schedule(startAt, host::start);
            startAt += intervalMilliseconds;
        }
        time.advance(0);
    }

    /** Writes a row. The row of a server marks it as draining. */
    long write(String key) {
        version++;
        rows.put(key, new Row(version, key, State.DRAINS));
        return version;
    }

    /** Writes the row of a server that accepts requests. */
    void writeServing(String key) {
        version++;
        rows.put(key, new Row(version, key, State.SERVES));
    }

    /** Saves a copy from which the store can be restored. */
    void saveCopy() {
        copiedRows = new TreeMap<>(rows);
        copiedCrashes = new TreeMap<>(crashes);
        copiedVersion = version;
    }

    /** Restores the store from the saved copy: a new era begins, later versions are lost. */
    void restoreCopy() {
        rows.clear();
        rows.putAll(copiedRows);
        crashes.clear();
        crashes.putAll(copiedCrashes);
        version = copiedVersion;
        era++;
    }

    /** Removes the row of a server. */
    void remove(String key) {
        version++;
        rows.put(key, new Row(version, key, State.REMOVED));
    }

    /** Removes the crash rows of a request, as an operator does to release it. */
    void removeCrashRows(String content) {
        for (String key : List.copyOf(crashes.keySet())) {
            if (crashes.get(key).content().equals(content)) {
                crashes.remove(key);
                write(key);
            }
        }
    }

    Host host(String name) {
        return hosts.get(name);
    }

    List<Host> readers() {
        return hosts.values().stream()
                .filter(host -> host.alive && host.relay.hasSubscribers())
                .toList();
    }

    private <T> ChangeSource<T> source(Host host, String table, Function<Row, T> decode) {
        return new ChangeSource<>() {
            @Override
            public CompletableFuture<Changes<T>> readAll() {
                operatorSnapshotReads += table.startsWith("op") ? 1 : 0;
                return call(host, () -> changes(-1));
            }

            @Override
            public CompletableFuture<Changes<T>> changesAfter(long after, long wait) {
                CompletableFuture<Changes<T>> answer = new CompletableFuture<>();
                poll(answer, after, time.monotonicMilliseconds() + wait);
                storeCalls++;
                return answer;
            }

            private void poll(CompletableFuture<Changes<T>> answer, long after, long end) {
                if (rejectedByStore.contains(host.name)) {
                    time.schedule(
                            CALL_MILLISECONDS, () -> answer.completeExceptionally(storeFailure()));
                    return;
                }
                if (!reachesStore(host)) {
                    time.schedule(
                            Math.max(0, end - time.monotonicMilliseconds())
                                    + STORE_TIMEOUT_MILLISECONDS,
                            () -> answer.completeExceptionally(storeFailure()));
                    return;
                }
                if (isHistoryGone(after)) {
                    time.schedule(
                            CALL_MILLISECONDS, () -> answer.completeExceptionally(historyGone()));
                    return;
                }
                Changes<T> changes = changes(after);
                if (changes.items().isEmpty() && time.monotonicMilliseconds() < end) {
                    time.schedule(CALL_MILLISECONDS, () -> poll(answer, after, end));
                } else {
                    time.schedule(CALL_MILLISECONDS, () -> answer.complete(changes));
                }
            }

            private Changes<T> changes(long after) {
                List<T> items = new ArrayList<>();
                long base = after < 0 ? after : StoreVersion.at(after).version();
                for (Row row : rows.values()) {
                    boolean isVisible = after >= 0 || row.state != State.REMOVED;
                    if (isVisible && row.key.startsWith(table) && row.version > base) {
                        items.add(decode.apply(row));
                    }
                }
                return new Changes<>(new StoreVersion(era, version).position(), after < 0, items);
            }

            private boolean isHistoryGone(long after) {
                return after >= 0
                        && (StoreVersion.at(after).era() != era
                                || StoreVersion.at(after).version() > version);
            }
        };
    }

    private <T> CompletableFuture<T> call(Host host, Supplier<T> result) {
        storeCalls++;
        CompletableFuture<T> answer = new CompletableFuture<>();
        if (rejectedByStore.contains(host.name)) {
            time.schedule(CALL_MILLISECONDS, () -> answer.completeExceptionally(storeFailure()));
        } else if (reachesStore(host)) {
            T read = result.get();
            time.schedule(CALL_MILLISECONDS, () -> answer.complete(read));
        } else {
            time.schedule(
                    STORE_TIMEOUT_MILLISECONDS, () -> answer.completeExceptionally(storeFailure()));
        }
        return answer;
    }

    boolean reachesStore(Host host) {
        return !storeUnavailable && !partitionedFromStore.contains(host.name);
    }

    private static ResultException historyGone() {
        return new ResultException(ResultCode.HISTORY_GONE, "test");
    }

    private static ResultException storeFailure() {
        return new ResultException(ResultCode.PLATFORM_UNAVAILABLE, "test");
    }

    private void deliver(String from, String receiver, PeerMessage message) {
        messages++;
        String to =
                SeedName.address(receiver)
                        .map(address -> address.substring(0, address.indexOf(':')))
                        .orElse(receiver);
        time.schedule(
                messageDelayMilliseconds,
                () -> {
                    boolean isPartitioned =
                            partitionedFromHosts.contains(from)
                                    || partitionedFromHosts.contains(to)
                                    || isLost.test(message);
                    Host reached = hosts.get(to);
                    if (!isPartitioned && reached.alive) {
                        reached.relay.receive(from, message);
                        reached.quarantineRelay.receive(from, message);
                    }
                });
    }

    private record Row(long version, String key, State state) {}

    private enum State {
        SERVES,
        DRAINS,
        REMOVED
    }

    /** Simulates one host, and records what it received of each table. */
    final class Host {

        final String name;
        final HostEntry entry;
        boolean alive = true;
        private int startNumber;
        int hostCount;
        int smallestHostCount = Integer.MAX_VALUE;
        long routesVersion;
        int routeCount;
        RouteTable routeTable = RouteTable.EMPTY;
        final Set<String> drainingServers = new HashSet<>();
        final Map<String, Long> removedAt = new TreeMap<>();
        final Set<String> operatorSettings = new HashSet<>();
        EvacuatedZones evacuatedZones = new EvacuatedZones();
        FeedRelay relay;
        ChangeFollower<ServerChange> servers;
        private ChangeFollower<OperatorChange> operator;
        Quarantine quarantine;
        QuarantineRelay quarantineRelay;

        private Host(String name, String zone) {
            this.name = name;
            this.entry = new HostEntry(name, zone, name + ":1");
        }

        private void count(int newHostCount) {
            hostCount = newHostCount;
            smallestHostCount = Math.min(smallestHostCount, newHostCount);
        }

        /** Restarts the host without its former state. */
        void restart() {
            alive = false;
            startNumber++;
            operatorSettings.clear();
            evacuatedZones = new EvacuatedZones();
            drainingServers.clear();
            removedAt.clear();
            routesVersion = 0;
            routeCount = 0;
            long downMilliseconds = 100;
            time.schedule(
                    downMilliseconds,
                    () -> {
                        alive = true;
                        start();
                    });
        }

        private void start() {
            relay =
                    new FeedRelay(
                            new RelayOptions(
                                    SERVER_STALENESS_LIMIT_MILLISECONDS,
                                    OPERATOR_STALENESS_LIMIT_MILLISECONDS,
                                    firstStart && time.monotonicMilliseconds() == 0,
                                    seeds),
                            time,
                            scheduler(),
                            event -> {},
                            this::count);
            servers =
                    follower(
                            "servers/",
                            this::serverChange,
                            this::onServerChanges,
                            () ->
                                    relay.hasSubscribers()
                                            ? 1_000
                                            : SERVER_STALENESS_LIMIT_MILLISECONDS,
                            () -> 0);
            operator =
                    follower(
                            "op/",
                            this::operatorChange,
                            this::onOperatorChanges,
                            () -> 250,
                            () -> relay.hasSubscribers() ? 1_000 : 2_200);
            ChangeFollower<HostChange> table =
                    follower(
                            "hosts/",
                            row -> new HostChange(nameOf(row.key), Optional.of(entryOf(row.key))),
                            relay::onHostChanges,
                            () -> 10_000,
                            () -> 0);
            quarantine = new Quarantine(time, event -> {});
            quarantineRelay =
                    new QuarantineRelay(quarantine, this::writeCrashes, scheduler(), event -> {});
            ChangeFollower<CrashRowChange> crashTable =
                    follower(
                            "crashes/",
                            this::crashChange,
                            quarantineRelay::onCrashChanges,
                            () -> 1_000,
                            () -> relay.hasSubscribers() ? 5_000 : 10_000);
            TableFollowers followers = new TableFollowers(servers, operator, table, crashTable);
            quarantineRelay.start(
                    relay, (to, message) -> deliver(name, to, message), contents -> {});
            relay.start(
                    entry,
                    published ->
                            call(
                                    this,
                                    () -> {
                                        write("hosts/" + published.name());
                                        return null;
                                    }),
                    (to, message) -> deliver(name, to, message),
                    followers);
            operator.start();
            servers.start();
        }

        private <T> ChangeFollower<T> follower(
                String table,
                Function<Row, T> decode,
                Consumer<Changes<T>> listener,
                LongSupplier interval,
                LongSupplier wait) {
            return ChangeFollower.builder(table, source(this, table, decode), listener)
                    .intervalMilliseconds(interval)
                    .waitMilliseconds(wait)
                    .clock(time)
                    .scheduler(scheduler())
                    .eventLog(event -> {})
                    .build();
        }

        /** Returns a scheduler that drops tasks if the host has stopped or restarted meanwhile. */
        private Scheduler scheduler() {
            int scheduledStartNumber = startNumber;
            return (delay, task) ->
                    time.schedule(
                            delay,
                            () -> {
                                if (alive && startNumber == scheduledStartNumber) {
                                    task.run();
                                }
                            });
        }

        private void onServerChanges(Changes<ServerChange> changes) {
            long gracePeriodMilliseconds =
                    GatewayFeed.gracePeriodMilliseconds(relay.timeSinceReadGapMilliseconds());
            if (gracePeriodMilliseconds == 0) {
                long now = time.monotonicMilliseconds();
                removedAt.replaceAll((name, at) -> Math.min(at, now));
            }
            for (ServerChange change : changes.items()) {
                if (change.entry().filter(ServerEntry::leaving).isPresent()) {
                    drainingServers.add(change.name());
                } else if (change.entry().isEmpty()) {
                    removedAt.putIfAbsent(
                            change.name(), time.monotonicMilliseconds() + gracePeriodMilliseconds);
                }
            }
            relay.onServerChanges(changes);
        }

        /** Tells whether the host has stopped sending to a draining or removed server. */
        boolean sendsNothingTo(String server) {
            return drainingServers.contains(server)
                    || removedAt.getOrDefault(server, Long.MAX_VALUE)
                            <= time.monotonicMilliseconds();
        }

        private void onOperatorChanges(Changes<OperatorChange> changes) {
            evacuatedZones.apply(changes);
            for (OperatorChange change : changes.items()) {
                if (change instanceof OperatorChange.Evacuation evacuation) {
                    operatorSettings.add(evacuation.availabilityZone());
                } else if (change instanceof OperatorChange.Routes routesChange) {
                    routeTable = routesChange.routes();
                    routesVersion = routesChange.routes().version();
                    routeCount = routesChange.routes().routeCount();
                }
            }
            relay.onOperatorChanges(changes);
        }

        private OperatorChange operatorChange(Row row) {
            configurationReads += row.key.equals("op/config") ? 1 : 0;
            return row.key.equals("op/config")
                    ? new OperatorChange.Routes(
                            new RouteTable(row.version, routes, List.of(), LIMITS, workspaces))
                    : new OperatorChange.Evacuation(row.key, row.state != State.REMOVED);
        }

        private CompletableFuture<Void> writeCrashes(List<Crash> added, List<String> removed) {
            return call(
                    this,
                    () -> {
                        added.forEach(crash -> crashes.put("crashes/" + crash.key(), crash));
                        added.forEach(crash -> write("crashes/" + crash.key()));
                        removed.forEach(key -> crashes.remove("crashes/" + key));
                        removed.forEach(key -> write("crashes/" + key));
                        return null;
                    });
        }

        /** Removed rows appear as removals in snapshots and deltas alike. */
        private CrashRowChange crashChange(Row row) {
            return new CrashRowChange(
                    row.key.substring("crashes/".length()),
                    Optional.ofNullable(crashes.get(row.key)));
        }

        /** Reports that a server crashed while it ran a request. */
        void reportCrash(String content, String server) {
            Crash crash = new Crash(content, "read", server, 1);
            quarantine.add(List.of(crash));
            quarantineRelay.report(List.of(crash));
        }

        private ServerChange serverChange(Row row) {
            return row.state == State.REMOVED
                    ? ServerTableReplicaTest.removed(row.key)
                    : ServerTableReplicaTest.published(
                            ServerTableReplicaTest.entry(
                                    row.key, row.state == State.DRAINS, 0, row.version));
        }

        private String nameOf(String key) {
            return key.substring(key.indexOf('/') + 1);
        }

        private HostEntry entryOf(String key) {
            return hosts.get(nameOf(key)).entry;
        }
    }
}
