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

/** Builds a {@link Membership}. Clock, scheduler and sender are required. */
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
     * Sets the intervals and time limits.
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
     * Sets what sends messages to the peers. It is called outside the membership's lock.
     *
     * @param newSender the sender
     * @return this builder
     */
    public MembershipBuilder sender(PeerSender newSender) {
        sender = newSender;
        return this;
    }

    /**
     * Sets the event log.
     *
     * @param newEventLog the log
     * @return this builder
     */
    public MembershipBuilder eventLog(EventLog newEventLog) {
        eventLog = newEventLog;
        return this;
    }

    /**
     * Sets the counters, in which violations of invariants are counted.
     *
     * @param newCounters the counters
     * @return this builder
     */
    public MembershipBuilder counters(Counters newCounters) {
        counters = newCounters;
        return this;
    }

    /**
     * Sets the supplier of the routing's part of each heartbeat. It is called outside the
     * membership's lock.
     *
     * @param newContribution the supplier
     * @return this builder
     */
    public MembershipBuilder contribution(Supplier<HeartbeatContribution> newContribution) {
        contribution = newContribution;
        return this;
    }

    /**
     * Sets the listener that receives the newest holdings after each change. It is called outside
     * the membership's lock.
     *
     * @param newListener the listener
     * @return this builder
     */
    public MembershipBuilder holdingsListener(Consumer<SlotHoldings> newListener) {
        holdingsListener = newListener;
        return this;
    }

    /**
     * Sets the listener that receives the view version of a peer whose view is newer.
     *
     * @param newListener the listener
     * @return this builder
     */
    public MembershipBuilder newerViewListener(LongConsumer newListener) {
        newerViewListener = newListener;
        return this;
    }

    /**
     * Sets the listener that receives the configuration version of a peer whose configuration is
     * newer.
     *
     * @param newListener the listener
     * @return this builder
     */
    public MembershipBuilder newerConfigurationListener(LongConsumer newListener) {
        newerConfigurationListener = newListener;
        return this;
    }

    /**
     * Builds the membership. It sends no heartbeats until it is started.
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
