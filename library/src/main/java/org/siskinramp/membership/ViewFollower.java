package org.siskinramp.membership;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BiConsumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.platform.ListedHost;
import org.siskinramp.platform.Platform;
import org.siskinramp.platform.Row;
import org.siskinramp.platform.RowKey;
import org.siskinramp.platform.Write;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/**
 * Polls the membership view in the table service, and writes the next one when the platform's list
 * of hosts has differed from it for at least 1.5 s.
 */
public final class ViewFollower {

    /** The row that holds the view as JSON. */
    public static final RowKey VIEW_ROW = new RowKey("membership", "view");

    private static final long POLL_INTERVAL_MILLISECONDS = 1_000;
    private static final long POLL_JITTER_MILLISECONDS = 500;
    private static final long WRITE_DELAY_MILLISECONDS = 1_500;
    private static final long WRITE_DELAY_JITTER_MILLISECONDS = 1_000;
    private static final long MINIMUM_READ_INTERVAL_MILLISECONDS = 200;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String self;
    private final Membership membership;
    private final Platform platform;
    private final Clock clock;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final EventLog eventLog;

    private final ReentrantLock lock = new ReentrantLock();
    private List<Member> pendingMembers = List.of();
    private long writeAt = Long.MAX_VALUE;
    private long lastReadAt = Long.MIN_VALUE / 4;
    private boolean stopped;

    /**
     * Creates a follower; it does nothing until it is started.
     *
     * @param self this entry host's name
     * @param membership the membership that views and host lists are applied to
     * @param platform the client of the platform
     * @param clock the clock
     * @param scheduler runs the polls
     * @param random source of the jitter that spreads the polls and writes of different hosts
     * @param eventLog the log
     */
    public ViewFollower(
            String self,
            Membership membership,
            Platform platform,
            Clock clock,
            Scheduler scheduler,
            UniformRandomProvider random,
            EventLog eventLog) {
        this.self = Objects.requireNonNull(self, "self");
        this.membership = Objects.requireNonNull(membership, "membership");
        this.platform = Objects.requireNonNull(platform, "platform");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        this.random = Objects.requireNonNull(random, "random");
        this.eventLog = Objects.requireNonNull(eventLog, "eventLog");
    }

    /** Starts polling. */
    public void start() {
        poll();
    }

    /** Stops polling. */
    public void stop() {
        locked(() -> stopped = true);
    }

    /**
     * Reads the view at once if a peer acts on a newer one, unless it was read within the last 200
     * ms.
     *
     * @param version the peer's view version
     */
    public void readIfNewer(long version) {
        if (version > membership.view().version() && mayRead()) {
            readView();
        }
    }

    private boolean mayRead() {
        lock.lock();
        try {
            return clock.monotonicMilliseconds() >= lastReadAt + MINIMUM_READ_INTERVAL_MILLISECONDS;
        } finally {
            lock.unlock();
        }
    }

    private void poll() {
        if (isStopped()) {
            return;
        }
        readView();
        onResult(platform.hosts(), (hosts, failure) -> processHostList(hosts));
        long delay = POLL_INTERVAL_MILLISECONDS + random.nextLong(POLL_JITTER_MILLISECONDS);
        scheduler.schedule(delay, this::poll);
    }

    private boolean isStopped() {
        lock.lock();
        try {
            return stopped;
        } finally {
            lock.unlock();
        }
    }

    private void readView() {
        locked(() -> lastReadAt = clock.monotonicMilliseconds());
        onResult(
                platform.read(List.of(VIEW_ROW)),
                (rows, failure) -> {
                    if (failure == null && !rows.isEmpty()) {
                        apply(rows.get(0));
                    }
                });
    }

    private void apply(Row row) {
        try {
            MembershipView view = MAPPER.readValue(row.value(), MembershipView.class);
            if (view.version() > membership.view().version()) {
                eventLog.record(
                        LogEvent.named("view")
                                .with("version", view.version())
                                .with("members", view.members().size()));
                membership.applyView(view);
            }
        } catch (JsonProcessingException failure) {
            eventLog.record(
                    LogEvent.named("view_malformed").with("reason", failure.getOriginalMessage()));
        }
    }

    private void processHostList(List<ListedHost> hosts) {
        if (hosts == null || hosts.isEmpty()) {
            return;
        }
        Set<String> listed = new HashSet<>();
        hosts.forEach(host -> listed.add(host.name()));
        membership.applyHostList(listed);
        List<Member> members =
                hosts.stream()
                        .map(
                                host ->
                                        new Member(
                                                host.name(),
                                                host.availabilityZone(),
                                                host.peerAddress()))
                        .sorted(Comparator.comparing(Member::name))
                        .toList();
        MembershipView view = membership.view();
        boolean isWanted = !members.equals(view.members()) && listed.contains(self);
        if (isWriteDue(isWanted ? members : List.of()) && membership.isSettled()) {
            write(view, view.next(members));
        }
    }

    private boolean isWriteDue(List<Member> members) {
        lock.lock();
        try {
            if (!members.equals(pendingMembers)) {
                pendingMembers = members;
                writeAt =
                        members.isEmpty()
                                ? Long.MAX_VALUE
                                : clock.monotonicMilliseconds()
                                        + WRITE_DELAY_MILLISECONDS
                                        + random.nextLong(WRITE_DELAY_JITTER_MILLISECONDS);
            }
            return clock.monotonicMilliseconds() >= writeAt;
        } finally {
            lock.unlock();
        }
    }

    private void write(MembershipView current, MembershipView next) {
        String value;
        try {
            value = MAPPER.writeValueAsString(next);
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException(failure);
        }
        Write write = new Write(VIEW_ROW, Optional.of(value), current.version());
        onResult(
                platform.commit(List.of(write)),
                (done, failure) -> {
                    eventLog.record(
                            LogEvent.named("view_write")
                                    .with("version", next.version())
                                    .with("members", next.members().size())
                                    .with("result", resultName(failure)));
                    readView();
                });
    }

    private static <T> void onResult(
            CompletableFuture<T> future, BiConsumer<? super T, ? super Throwable> action) {
        CompletableFuture<T> unused = future.whenComplete(action);
    }

    private static Object resultName(Throwable failure) {
        return failure == null ? "written" : ResultException.from(failure).code();
    }

    private void locked(Runnable change) {
        lock.lock();
        try {
            change.run();
        } finally {
            lock.unlock();
        }
    }
}
