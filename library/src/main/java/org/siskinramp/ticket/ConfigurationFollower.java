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
 * Keeps the newest configuration at hand. Versions only rise; while the platform is down the last
 * one stays in force.
 */
public final class ConfigurationFollower {

    private static final double LEAST_JITTER = 0.8;

    private final Tickets tickets;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final EventLog eventLog;
    private final FollowerOptions options;
    private final Consumer<Configuration> listener;
    private final RecentChanges recentChanges = new RecentChanges();
    private Configuration current = Configuration.empty();
    private long noticedVersion;
    private long delayMilliseconds;
    private boolean reading;
    private boolean stopped;

    /**
     * Creates a follower that does not read yet.
     *
     * @param tickets where to read
     * @param scheduler runs the polls
     * @param random spreads the polls of the hosts
     * @param eventLog receives an event for each new version
     * @param options how often to read
     * @param listener receives each new configuration, one at a time and in rising order
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
        this.delayMilliseconds = options.pollMilliseconds();
    }

    /** Reads now and from then on, until stopped. */
    public void start() {
        read();
        scheduler.schedule(nextDelay(), this::poll);
    }

    /** Stops reading. */
    public synchronized void stop() {
        stopped = true;
    }

    /**
     * Returns the newest configuration that was read.
     *
     * @return the configuration, version 0 before the first reading
     */
    public synchronized Configuration current() {
        return current;
    }

    /**
     * Reads at once if another host knows a newer version.
     *
     * @param version the version
     */
    public void notice(long version) {
        if (isNews(version)) {
            read();
        }
    }

    /**
     * Takes a committed change in that this or another host tells of. It is applied if it follows
     * the present version, and kept for hosts that ask.
     *
     * @param change the change
     */
    public void push(ConfigurationPush change) {
        boolean applied = false;
        while (applyNext(change)) {
            applied = true;
        }
        if (applied) {
            tell(current());
        }
    }

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
                                                new RowKey(TicketRows.OBJECTS, object.key()),
                                                next.version(),
                                                object.value()))
                        .toList();
        current = Snapshot.put(rows, current.toBuilder(next.version()));
        return true;
    }

    /**
     * Lists the changes that this host was told of behind a version.
     *
     * @param version the version
     * @return the changes without a gap, empty if the next one is not known
     */
    public synchronized List<ConfigurationPush> changesAfter(long version) {
        return recentChanges.after(version);
    }

    private synchronized boolean isNews(long version) {
        noticedVersion = Math.max(noticedVersion, version);
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
                (delayMilliseconds * (LEAST_JITTER + (1 - LEAST_JITTER) * random.nextDouble()));
    }

    private void read() {
        if (!beginReading()) {
            return;
        }
        Futures.whenDone(
                tickets.version().thenCompose(this::loadIfNewer),
                (configuration, failure) -> {
                    if (failure == null) {
                        apply(configuration);
                    } else {
                        endReading(options.longestPollMilliseconds());
                        eventLog.record(
                                LogEvent.named("configuration_unread")
                                        .with("code", ResultException.from(failure).code()));
                    }
                });
    }

    private synchronized boolean beginReading() {
        if (reading || stopped) {
            return false;
        }
        reading = true;
        return true;
    }

    private CompletableFuture<Configuration> loadIfNewer(long version) {
        return version > current().version()
                ? tickets.load()
                : CompletableFuture.completedFuture(current());
    }

    private void apply(Configuration configuration) {
        if (replaceCurrent(configuration)) {
            tell(configuration);
        }
        if (endReading(options.pollMilliseconds())) {
            read();
        }
    }

    private void tell(Configuration configuration) {
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

    /** Ends a reading and tells whether a notice that came meanwhile asks for another. */
    private synchronized boolean endReading(long nextDelayMilliseconds) {
        reading = false;
        delayMilliseconds = nextDelayMilliseconds;
        boolean again = noticedVersion > current.version();
        noticedVersion = 0;
        return again;
    }
}
