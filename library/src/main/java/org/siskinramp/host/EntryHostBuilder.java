package org.siskinramp.host;

import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.siskinramp.attempt.BackendServerLink;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.peer.PeerSender;
import org.siskinramp.platform.Platform;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/** Builds an {@link EntryHost}. Everything but the options is required. */
public final class EntryHostBuilder {

    private HostIdentity identity;
    private Clock clock;
    private Scheduler scheduler;
    private Platform platform;
    private BackendServerLink backendServerLink;
    private PeerSender peerSender;
    private EventLog eventLog;
    private Counters counters;
    private UniformRandomProvider seeds;
    private EntryHostOptions options = EntryHostOptions.defaults();

    EntryHostBuilder() {}

    /**
     * Sets the identity of this host and its process.
     *
     * @param value the identity
     * @return this builder
     */
    public EntryHostBuilder identity(HostIdentity value) {
        identity = value;
        return this;
    }

    /**
     * Sets the clock.
     *
     * @param value the clock
     * @return this builder
     */
    public EntryHostBuilder clock(Clock value) {
        clock = value;
        return this;
    }

    /**
     * Sets the scheduler of delayed tasks.
     *
     * @param value the scheduler
     * @return this builder
     */
    public EntryHostBuilder scheduler(Scheduler value) {
        scheduler = value;
        return this;
    }

    /**
     * Sets the client of the platform.
     *
     * @param value the platform
     * @return this builder
     */
    public EntryHostBuilder platform(Platform value) {
        platform = value;
        return this;
    }

    /**
     * Sets the link that sends attempts and probes to backend servers.
     *
     * @param value the link
     * @return this builder
     */
    public EntryHostBuilder backendServerLink(BackendServerLink value) {
        backendServerLink = value;
        return this;
    }

    /**
     * Sets the sender of messages to other entry hosts.
     *
     * @param value the sender
     * @return this builder
     */
    public EntryHostBuilder peerSender(PeerSender value) {
        peerSender = value;
        return this;
    }

    /**
     * Sets the event log.
     *
     * @param value the event log
     * @return this builder
     */
    public EntryHostBuilder eventLog(EventLog value) {
        eventLog = value;
        return this;
    }

    /**
     * Sets the counters.
     *
     * @param value the counters
     * @return this builder
     */
    public EntryHostBuilder counters(Counters value) {
        counters = value;
        return this;
    }

    /**
     * Sets the source of random seeds. Each part has its own random generator, which is seeded from
     * this source.
     *
     * @param value the source
     * @return this builder
     */
    public EntryHostBuilder random(UniformRandomProvider value) {
        seeds = value;
        return this;
    }

    /**
     * Sets the options of all parts.
     *
     * @param value the options
     * @return this builder
     */
    public EntryHostBuilder options(EntryHostOptions value) {
        options = value;
        return this;
    }

    /**
     * Builds the entry host. It does nothing until it is started.
     *
     * @return the entry host
     * @throws NullPointerException if anything but the options is missing
     */
    public EntryHost build() {
        Objects.requireNonNull(identity, "identity");
        Objects.requireNonNull(clock, "clock");
        Objects.requireNonNull(scheduler, "scheduler");
        Objects.requireNonNull(platform, "platform");
        Objects.requireNonNull(backendServerLink, "backendServerLink");
        Objects.requireNonNull(peerSender, "peerSender");
        Objects.requireNonNull(eventLog, "eventLog");
        Objects.requireNonNull(counters, "counters");
        Objects.requireNonNull(seeds, "random");
        return new EntryHost(this);
    }

    HostIdentity identity() {
        return identity;
    }

    Clock clock() {
        return clock;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    Platform platform() {
        return platform;
    }

    BackendServerLink backendServerLink() {
        return backendServerLink;
    }

    PeerSender peerSender() {
        return peerSender;
    }

    EventLog eventLog() {
        return eventLog;
    }

    Counters counters() {
        return counters;
    }

    EntryHostOptions options() {
        return options;
    }

    synchronized UniformRandomProvider newRandom() {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seeds.nextLong());
    }
}
