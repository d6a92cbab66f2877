package org.siskinramp.ticket;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.peer.ConfigurationPush;
import org.siskinramp.platform.Row;
import org.siskinramp.platform.RowKey;
import org.siskinramp.result.Futures;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Scheduler;

/**
 * Keeps a copy of the newest configuration: polls the platform for it and applies changes that
 * other hosts push. Its version never decreases. While the platform is unavailable, the last
 * configuration stays in force.
 */
public final class ConfigurationFollower {

    private static final double MINIMUM_DELAY_FACTOR = 0.8;

    private final Tickets tickets;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final EventLog eventLog;
    private final FollowerOptions options;
    private final Consumer<Configuration> listener;
    private final RecentChanges recentChanges = new RecentChanges();
    private Configuration current = Configuration.empty();
    private long announcedVersion;
    private long delayMilliseconds;
    private boolean readInProgress;
    private boolean stopped;

    /**
     * Creates a follower, which must be started.
     *
     * @param tickets reads the configuration from the platform
     * @param scheduler runs the polls
     * @param random the source of jitter, so that hosts do not poll at the same time
     * @param eventLog records each new version and each failed read
     * @param options the poll intervals
     * @param listener receives the new configuration after each read or push that changed it;
     *     concurrent calls may arrive out of order, so it must ignore an older version
     */
    public ConfigurationFollower(
            Tickets tickets,
            Scheduler scheduler,
            UniformRandomProvider random,
            EventLog eventLog,
            FollowerOptions options,
            Consumer<Configuration> listener) {
        this.tickets = Objects.requireNonNull(tickets, "tickets");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        this.random = Objects.requireNonNull(random, "random");
        this.eventLog = Objects.requireNonNull(eventLog, "eventLog");
        this.options = Objects.requireNonNull(options, "options");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.delayMilliseconds = options.pollIntervalMilliseconds();
    }

    /** Reads the configuration at once and polls for changes until stopped. */
    public void start() {
        read();
        scheduler.schedule(nextDelay(), this::poll);
    }

    /** Stops polling and applying pushed changes. */
    public synchronized void stop() {
        stopped = true;
    }

    /**
     * Returns the newest configuration that was read or pushed.
     *
     * @return the configuration, version 0 before the first read
     */
    public synchronized Configuration current() {
        return current;
    }

    /**
     * Reads the configuration at once if a version is newer than the current one.
     *
     * @param version the version that this or another host has announced
     */
    public void readIfNewer(long version) {
        if (recordAnnouncedVersion(version)) {
            read();
        }
    }

    /**
     * Receives a change that this or another host has committed. Retains it for hosts that ask for
     * missing changes, and applies all retained changes that follow the current version without a
     * gap.
     *
     * @param change the committed change
     */
    public void push(ConfigurationPush change) {
        boolean applied = false;
        while (applyNext(change)) {
            applied = true;
        }
        if (applied) {
            notifyListener(current());
        }
    }

    /**
     * Retains a change and applies the one that follows the current version, if it is known.
     * Returns whether one was applied. Before the first read there is no configuration to apply it
     * to.
     */
    private synchronized boolean applyNext(ConfigurationPush change) {
        recentChanges.add(change);
        List<ConfigurationPush> following = recentChanges.after(current.version());
        if (following.isEmpty() || stopped || current.version() == 0) {
            return false;
        }
        ConfigurationPush next = following.get(0);
        List<Row> rows =
                next.objects().stream()
                        .map(
                                object ->
                                        new Row(
                                                new RowKey(TicketRows.OBJECTS_TABLE, object.key()),
                                                next.version(),
                                                object.value()))
                        .toList();
        current = Snapshot.applyRows(rows, current.toBuilder(next.version()));
        return true;
    }

    /**
     * Returns the retained changes that follow a version.
     *
     * @param version the version
     * @return consecutive changes in order, empty if the one after the version is not retained
     */
    public synchronized List<ConfigurationPush> changesAfter(long version) {
        return recentChanges.after(version);
    }

    /** Records an announced version and returns whether it is newer than the current one. */
    private synchronized boolean recordAnnouncedVersion(long version) {
        announcedVersion = Math.max(announcedVersion, version);
        return version > current.version();
    }

    private void poll() {
        if (isStopped()) {
            return;
        }
        read();
        scheduler.schedule(nextDelay(), this::poll);
    }

    private synchronized boolean isStopped() {
        return stopped;
    }

    private synchronized long nextDelay() {
        return (long)
                (delayMilliseconds
                        * (MINIMUM_DELAY_FACTOR
                                + (1 - MINIMUM_DELAY_FACTOR) * random.nextDouble()));
    }

    private void read() {
        if (!beginRead()) {
            return;
        }
        Futures.whenDone(
                tickets.version().thenCompose(this::loadIfNewer),
                (configuration, failure) -> {
                    if (failure == null) {
                        apply(configuration);
                    } else {
                        endRead(options.failurePollIntervalMilliseconds());
                        eventLog.record(
                                LogEvent.named("configuration_unread")
                                        .with("code", ResultException.from(failure).code()));
                    }
                });
    }

    private synchronized boolean beginRead() {
        if (readInProgress || stopped) {
            return false;
        }
        readInProgress = true;
        return true;
    }

    private CompletableFuture<Configuration> loadIfNewer(long version) {
        return version > current().version()
                ? tickets.load()
                : CompletableFuture.completedFuture(current());
    }

    private void apply(Configuration configuration) {
        if (replaceCurrent(configuration)) {
            notifyListener(configuration);
        }
        if (endRead(options.pollIntervalMilliseconds())) {
            read();
        }
    }

    private void notifyListener(Configuration configuration) {
        eventLog.record(LogEvent.named("configuration").with("version", configuration.version()));
        listener.accept(configuration);
    }

    private synchronized boolean replaceCurrent(Configuration configuration) {
        if (configuration.version() <= current.version()) {
            return false;
        }
        current = configuration;
        return true;
    }

    /** Ends a read. Returns whether a newer version was announced meanwhile, so that it repeats. */
    private synchronized boolean endRead(long nextDelayMilliseconds) {
        readInProgress = false;
        delayMilliseconds = nextDelayMilliseconds;
        boolean readAgain = announcedVersion > current.version();
        announcedVersion = 0;
        return readAgain;
    }
}
