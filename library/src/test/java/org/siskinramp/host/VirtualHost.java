package org.siskinramp.host;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.siskinramp.attempt.Attempt;
import org.siskinramp.attempt.AttemptAnswer;
import org.siskinramp.attempt.BackendServerLink;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.log.Counter;
import org.siskinramp.log.LogEvent;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.platform.FakePlatform;
import org.siskinramp.platform.ListedHost;
import org.siskinramp.platform.Platform;
import org.siskinramp.platform.Row;
import org.siskinramp.platform.RowKey;
import org.siskinramp.platform.Write;
import org.siskinramp.result.Futures;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.routing.FakeServers;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;
import org.siskinramp.time.VirtualTime;

/**
 * Runs the library of one entry host in virtual time. The host can be paused, killed and restarted.
 */
final class VirtualHost {

    private final VirtualTime time;
    private final String name;
    private final String availabilityZone;
    private final VirtualNetwork network;
    private final FakePlatform platform;
    private final FakeServers servers;
    private final UniformRandomProvider random;
    private final RunTrace trace;
    private final EntryHostOptions options;
    private final Deque<Runnable> deferredTasks = new ArrayDeque<>();
    private final Set<Long> openAttempts = new HashSet<>();
    private EntryHost entryHost;
    private ProcessIncarnation currentIncarnation;
    private long clockOffsetMilliseconds;
    private int incarnationNumber;
    private boolean paused;
    private boolean platformCut;
    private long highestConfigurationVersion;

    VirtualHost(
            VirtualTime time,
            ListedHost listed,
            VirtualNetwork network,
            FakePlatform platform,
            FakeServers servers,
            UniformRandomProvider random,
            RunTrace trace,
            EntryHostOptions options) {
        this.time = time;
        this.name = listed.name();
        this.availabilityZone = listed.availabilityZone();
        this.network = network;
        this.platform = platform;
        this.servers = servers;
        this.random = random;
        this.trace = trace;
        this.options = options;
    }

    String name() {
        return name;
    }

    boolean isAlive() {
        return entryHost != null;
    }

    boolean isRunning() {
        return isAlive() && !paused;
    }

    EntryHost entryHost() {
        return entryHost;
    }

    Clock clock() {
        return currentIncarnation;
    }

    void start() {
        incarnationNumber++;
        highestConfigurationVersion = 0;
        clockOffsetMilliseconds = random.nextLong(1_000_000);
        ProcessIncarnation started = new ProcessIncarnation(incarnationNumber);
        currentIncarnation = started;
        entryHost =
                EntryHost.builder()
                        .identity(
                                new HostIdentity(
                                        name, availabilityZone, name + "-" + incarnationNumber))
                        .clock(started)
                        .scheduler(started)
                        .platform(started)
                        .backendServerLink(started)
                        .peerSender(
                                (host, message) -> {
                                    if (started.isCurrent()) {
                                        network.send(name, host, message);
                                    }
                                })
                        .eventLog(event -> record(event))
                        .counters(this::count)
                        .random(random)
                        .options(options)
                        .build();
        entryHost.start();
    }

    private void record(LogEvent event) {
        trace.add(time.monotonicMilliseconds(), name, event.toLine());
    }

    private void count(Counter counter, long amount) {
        if (counter == Counter.INVARIANT_VIOLATIONS) {
            trace.violation(name + " reports an invariant violation");
        }
    }

    /** Kills the process, which closes its connections. */
    void kill() {
        incarnationNumber++;
        entryHost = null;
        paused = false;
        deferredTasks.clear();
        List.copyOf(openAttempts).forEach(servers::cancel);
        openAttempts.clear();
    }

    void pause() {
        paused = isAlive();
    }

    void resume() {
        paused = false;
        while (!deferredTasks.isEmpty() && !paused) {
            deferredTasks.remove().run();
        }
    }

    void setPlatformCut(boolean value) {
        platformCut = value;
    }

    void receive(String from, PeerMessage message) {
        int number = incarnationNumber;
        runUnlessKilled(number, () -> entryHost.receive(from, message));
    }

    /** Checks that this host does not return to an older configuration. */
    void checkConfiguration() {
        if (!isAlive()) {
            return;
        }
        long version = entryHost.configuration().version();
        if (version < highestConfigurationVersion) {
            trace.violation(name + " went back to configuration " + version);
        }
        highestConfigurationVersion = version;
    }

    private void runUnlessKilled(int number, Runnable task) {
        if (number != incarnationNumber || entryHost == null) {
            return;
        }
        if (paused) {
            deferredTasks.add(() -> runUnlessKilled(number, task));
        } else {
            task.run();
        }
    }

    /** One process of the host. Once it has been killed, no callback reaches it any longer. */
    private final class ProcessIncarnation
            implements Clock, Scheduler, Platform, BackendServerLink {

        private final int number;

        private ProcessIncarnation(int number) {
            this.number = number;
        }

        private boolean isCurrent() {
            return number == incarnationNumber;
        }

        private <T> CompletableFuture<T> completingInHost(CompletableFuture<T> source) {
            CompletableFuture<T> target = new CompletableFuture<>();
            Futures.whenDone(
                    source,
                    (value, failure) ->
                            runUnlessKilled(
                                    number,
                                    () -> {
                                        if (failure == null) {
                                            target.complete(value);
                                        } else {
                                            target.completeExceptionally(failure);
                                        }
                                    }));
            return target;
        }

        private <T> CompletableFuture<T> unreachable() {
            CompletableFuture<T> future = new CompletableFuture<>();
            schedule(
                    500,
                    () ->
                            future.completeExceptionally(
                                    new ResultException(ResultCode.PLATFORM_UNAVAILABLE, "cut")));
            return future;
        }

        @Override
        public long monotonicMilliseconds() {
            return time.monotonicMilliseconds() + clockOffsetMilliseconds;
        }

        @Override
        public long calendarMilliseconds() {
            return time.calendarMilliseconds();
        }

        @Override
        public void schedule(long delayMilliseconds, Runnable task) {
            time.schedule(delayMilliseconds, () -> runUnlessKilled(number, task));
        }

        @Override
        public CompletableFuture<AttemptAnswer> dispatch(Attempt attempt) {
            openAttempts.add(attempt.number());
            long deadline = attempt.deadlineMilliseconds() - clockOffsetMilliseconds;
            Attempt shifted =
                    new Attempt(
                            attempt.number(),
                            attempt.request(),
                            attempt.backendServer(),
                            deadline,
                            attempt.isCold(),
                            attempt.expectedBootIdentity(),
                            attempt::isPermitted);
            CompletableFuture<AttemptAnswer> result = servers.dispatch(shifted);
            Futures.whenDone(result, (value, failure) -> openAttempts.remove(attempt.number()));
            return completingInHost(result);
        }

        @Override
        public void cancel(long attemptNumber) {
            servers.cancel(attemptNumber);
        }

        @Override
        public CompletableFuture<LoadReport> probe(BackendServer server) {
            return completingInHost(servers.probe(server));
        }

        @Override
        public CompletableFuture<Void> commit(List<Write> writes) {
            return platformCut ? unreachable() : completingInHost(platform.commit(writes));
        }

        @Override
        public CompletableFuture<List<Row>> read(List<RowKey> keys) {
            return platformCut ? unreachable() : completingInHost(platform.read(keys));
        }

        @Override
        public CompletableFuture<List<Row>> scan(
                String table, String keyPrefix, String afterKey, int limit) {
            return platformCut
                    ? unreachable()
                    : completingInHost(platform.scan(table, keyPrefix, afterKey, limit));
        }

        @Override
        public CompletableFuture<Void> putObject(String object, byte[] content) {
            return platformCut
                    ? unreachable()
                    : completingInHost(platform.putObject(object, content));
        }

        @Override
        public CompletableFuture<Optional<byte[]>> getObject(String object) {
            return platformCut ? unreachable() : completingInHost(platform.getObject(object));
        }

        @Override
        public CompletableFuture<List<String>> listObjects(String prefix) {
            return platformCut ? unreachable() : completingInHost(platform.listObjects(prefix));
        }

        @Override
        public CompletableFuture<List<ListedHost>> hosts() {
            return platformCut ? unreachable() : completingInHost(platform.hosts());
        }
    }
}
