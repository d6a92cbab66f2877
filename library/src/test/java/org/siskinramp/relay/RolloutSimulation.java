package org.siskinramp.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.fleet.ServerEntry;
import org.siskinramp.follow.StoreVersion;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.quota.HostCount;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.rollout.RecordedRollout;
import org.siskinramp.rollout.RolloutCoordinator;
import org.siskinramp.rollout.RolloutOrder;
import org.siskinramp.rollout.RolloutRecord;
import org.siskinramp.rollout.RolloutRegistry;
import org.siskinramp.rollout.RolloutRows;
import org.siskinramp.rollout.RolloutTable;
import org.siskinramp.time.VirtualTime;

/**
 * Simulates hosts that carry out an order in virtual time. The first hosts are readers, which learn
 * of changes from the store; each other host subscribes to one of them.
 */
final class RolloutSimulation {

    static final int READERS = 3;
    private static final String SERVICE = "desk";
    private static final long CALL_MILLISECONDS = 5;
    private static final long TIMEOUT_MILLISECONDS = 700;

    final VirtualTime time = new VirtualTime();
    final List<Host> hosts = new ArrayList<>();
    boolean isStoreAvailable = true;
    int storeCalls;
    int messages;
    private long era = 1;
    private long version = 1;
    private Optional<RolloutOrder> order = Optional.empty();
    private Recorded recorded = new Recorded(Optional.empty(), 0);
    private Recorded copy = recorded;

    RolloutSimulation(int count) {
        for (int number = 0; number < count; number++) {
            hosts.add(new Host(number));
        }
        readSnapshots();
    }

    static ServerEntry entry(String softwareVersion) {
        BackendServer server =
                new BackendServer("s", SERVICE, "ip", "zone", "ip:1", 2, 1, AdministrativeState.IN);
        return new ServerEntry(server, false, 0, 1, 1, softwareVersion);
    }

    void order(String target, long durationMilliseconds) {
        version++;
        order =
                Optional.of(
                        new RolloutOrder(
                                SERVICE, target, durationMilliseconds, version, position(version)));
        readDelta(List.of(order.get()), List.of());
    }

    void removeOrder() {
        version++;
        order = Optional.empty();
        readDelta(List.of(), List.of(SERVICE));
    }

    private void readDelta(List<RolloutOrder> orders, List<String> removed) {
        RolloutRows rows = new RolloutRows(position(version), false, orders, removed);
        hosts.subList(0, READERS).forEach(host -> host.relay.onRows(rows));
    }

    void readSnapshots() {
        List<RolloutOrder> orders =
                order.stream()
                        .map(
                                known ->
                                        new RolloutOrder(
                                                SERVICE,
                                                known.target(),
                                                known.durationMilliseconds(),
                                                known.rowVersion(),
                                                position(known.rowVersion())))
                        .toList();
        RolloutRows rows = new RolloutRows(position(version), true, orders, List.of());
        hosts.forEach(host -> host.relay.onRows(rows));
    }

    private long position(long rowVersion) {
        return new StoreVersion(era, rowVersion).position();
    }

    void saveCopy() {
        copy = recorded;
    }

    /** Restores the rows of siskinramp; the order was not changed since the copy. */
    void restoreCopy() {
        recorded = copy;
        era++;
    }

    String status() {
        return recorded.state()
                .map(state -> state.stage().stateName() + " " + state.order().target())
                .orElse("none");
    }

    private record Recorded(Optional<RolloutRecord> state, long version) {}

    /** One host. */
    final class Host implements RelayTopology, RolloutRegistry {

        final String name;
        private final int number;
        boolean isAlive = true;
        boolean reachesStore = true;
        private int starts;
        RolloutTable table;
        RolloutRelay relay;

        private Host(int number) {
            this.number = number;
            this.name = "host-" + number;
            start();
        }

        private void start() {
            int startNumber = starts;
            table = new RolloutTable(time, event -> {});
            RolloutCoordinator coordinator =
                    new RolloutCoordinator(
                            table,
                            this,
                            new RolloutTurn(name, this),
                            time,
                            event -> {},
                            (counter, amount) -> {});
            relay =
                    new RolloutRelay(
                            table,
                            coordinator,
                            (delay, task) ->
                                    time.schedule(
                                            delay,
                                            () -> {
                                                if (isAlive && starts == startNumber) {
                                                    task.run();
                                                }
                                            }));
            relay.start(this, this::send);
        }

        void kill() {
            isAlive = false;
        }

        void restart() {
            starts++;
            start();
        }

        boolean holds(String softwareVersion) {
            return !table.mayServe(entry(softwareVersion));
        }

        private void send(String to, PeerMessage message) {
            messages++;
            Host receiver =
                    hosts.stream().filter(host -> host.name.equals(to)).findFirst().orElseThrow();
            time.schedule(
                    1,
                    () -> {
                        if (receiver.isAlive) {
                            receiver.relay.receive(name, message);
                        }
                    });
        }

        @Override
        public List<String> readers() {
            return hosts.subList(0, Math.min(READERS, hosts.size())).stream()
                    .map(host -> host.name)
                    .filter(reader -> !reader.equals(name))
                    .toList();
        }

        /** Hosts subscribe to the next reader that is alive. */
        @Override
        public List<String> subscribers() {
            List<Integer> alive =
                    hosts.subList(0, READERS).stream()
                            .filter(host -> host.isAlive)
                            .map(host -> host.number)
                            .toList();
            int index = alive.indexOf(number);
            return index < 0
                    ? List.of()
                    : hosts.stream()
                            .filter(host -> host.number >= READERS)
                            .filter(host -> host.number % alive.size() == index)
                            .map(host -> host.name)
                            .toList();
        }

        @Override
        public boolean isReader() {
            return number < READERS;
        }

        @Override
        public Optional<String> source() {
            return Optional.empty();
        }

        @Override
        public HostCount hostCount() {
            return HostCount.UNKNOWN;
        }

        @Override
        public boolean acceptsUpdatesFrom(String host) {
            return true;
        }

        @Override
        public CompletableFuture<RecordedRollout> read(String service) {
            return call(
                    () -> {
                        long known = recorded.version();
                        return new RecordedRollout(recorded.state(), known, known, known > 0);
                    });
        }

        @Override
        public CompletableFuture<Void> write(RolloutRecord state, RecordedRollout base) {
            return call(
                    () -> {
                        if (recorded.version() != base.recordVersion()) {
                            throw new ResultException(ResultCode.CONDITION_FAILED, "test");
                        }
                        version++;
                        recorded = new Recorded(Optional.of(state), version);
                        return null;
                    });
        }

        private <T> CompletableFuture<T> call(Supplier<T> result) {
            storeCalls++;
            CompletableFuture<T> answer = new CompletableFuture<>();
            boolean isReached = isAlive && reachesStore && isStoreAvailable;
            time.schedule(
                    isReached ? CALL_MILLISECONDS : TIMEOUT_MILLISECONDS,
                    () -> {
                        try {
                            if (!isReached) {
                                throw new ResultException(ResultCode.PLATFORM_UNAVAILABLE, "test");
                            }
                            answer.complete(result.get());
                        } catch (ResultException failure) {
                            answer.completeExceptionally(failure);
                        }
                    });
            return answer;
        }
    }
}
