package org.siskinramp.membership;

import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.peer.PeerSender;
import org.siskinramp.slot.SlotHoldings;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/** Collects what a {@link Membership} needs. Clock, scheduler and sender must be given. */
public final class MembershipBuilder {

    private final String host;
    private final String incarnation;
    private MembershipOptions options = MembershipOptions.builder().build();
    private Clock clock;
    private Scheduler scheduler;
    private PeerSender sender;
    private EventLog eventLog = event -> {};
    private Counters counters = (counter, amount) -> {};
    private Supplier<HeartbeatContribution> contribution = () -> HeartbeatContribution.NONE;
    private Consumer<SlotHoldings> holdingsListener = holdings -> {};
    private LongConsumer newerViewListener = version -> {};
    private LongConsumer newerConfigurationListener = version -> {};

    MembershipBuilder(String host, String incarnation) {
        this.host = Objects.requireNonNull(host, "host");
        this.incarnation = Objects.requireNonNull(incarnation, "incarnation");
    }

    /**
     * Sets the times.
     *
     * @param newOptions the options, equal on all hosts
     * @return this builder
     */
    public MembershipBuilder options(MembershipOptions newOptions) {
        options = newOptions;
        return this;
    }

    /**
     * Sets the clock.
     *
     * @param newClock the clock
     * @return this builder
     */
    public MembershipBuilder clock(Clock newClock) {
        clock = newClock;
        return this;
    }

    /**
     * Sets the scheduler that {@link Membership#start} uses.
     *
     * @param newScheduler the scheduler
     * @return this builder
     */
    public MembershipBuilder scheduler(Scheduler newScheduler) {
        scheduler = newScheduler;
        return this;
    }

    /**
     * Sets how messages reach the peers. It is called outside the membership's lock.
     *
     * @param newSender the sender
     * @return this builder
     */
    public MembershipBuilder sender(PeerSender newSender) {
        sender = newSender;
        return this;
    }

    /**
     * Sets where events are logged.
     *
     * @param newEventLog the log
     * @return this builder
     */
    public MembershipBuilder eventLog(EventLog newEventLog) {
        eventLog = newEventLog;
        return this;
    }

    /**
     * Sets where violations of invariants are counted.
     *
     * @param newCounters the counters
     * @return this builder
     */
    public MembershipBuilder counters(Counters newCounters) {
        counters = newCounters;
        return this;
    }

    /**
     * Sets what the routing adds to heartbeats. It is called outside the membership's lock.
     *
     * @param newContribution the supplier
     * @return this builder
     */
    public MembershipBuilder contribution(Supplier<HeartbeatContribution> newContribution) {
        contribution = newContribution;
        return this;
    }

    /**
     * Sets what is called with the newest holdings after they changed, outside the membership's
     * lock.
     *
     * @param newListener the listener
     * @return this builder
     */
    public MembershipBuilder holdingsListener(Consumer<SlotHoldings> newListener) {
        holdingsListener = newListener;
        return this;
    }

    /**
     * Sets what is called with the view version of a peer that is ahead.
     *
     * @param newListener the listener
     * @return this builder
     */
    public MembershipBuilder newerViewListener(LongConsumer newListener) {
        newerViewListener = newListener;
        return this;
    }

    /**
     * Sets what is called with the configuration version of a peer that is ahead.
     *
     * @param newListener the listener
     * @return this builder
     */
    public MembershipBuilder newerConfigurationListener(LongConsumer newListener) {
        newerConfigurationListener = newListener;
        return this;
    }

    /**
     * Builds the membership. It is silent until it is started.
     *
     * @return the membership
     */
    public Membership build() {
        Objects.requireNonNull(clock, "clock");
        Objects.requireNonNull(scheduler, "scheduler");
        Objects.requireNonNull(sender, "sender");
        return Membership.of(this);
    }

    String host() {
        return host;
    }

    String incarnation() {
        return incarnation;
    }

    MembershipOptions options() {
        return options;
    }

    Clock clock() {
        return clock;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    PeerSender sender() {
        return sender;
    }

    EventLog eventLog() {
        return eventLog;
    }

    Counters counters() {
        return counters;
    }

    Supplier<HeartbeatContribution> contribution() {
        return contribution;
    }

    Consumer<SlotHoldings> holdingsListener() {
        return holdingsListener;
    }

    LongConsumer newerViewListener() {
        return newerViewListener;
    }

    LongConsumer newerConfigurationListener() {
        return newerConfigurationListener;
    }
}
