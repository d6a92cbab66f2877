package org.siskinramp.daemon;

import dagger.Lazy;
import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Optional;
import org.apache.commons.rng.simple.RandomSource;
import org.siskinramp.daemon.backend.BackendServerLinkOptions;
import org.siskinramp.daemon.backend.JettyBackendServerLink;
import org.siskinramp.daemon.caller.CallerServer;
import org.siskinramp.daemon.caller.CallerServerOptions;
import org.siskinramp.daemon.exchange.ExchangeOptions;
import org.siskinramp.daemon.metrics.Metrics;
import org.siskinramp.daemon.peer.PeerLink;
import org.siskinramp.daemon.peer.PeerLinkOptions;
import org.siskinramp.daemon.platform.HttpPlatform;
import org.siskinramp.daemon.platform.HttpPlatformOptions;
import org.siskinramp.daemon.settings.Settings;
import org.siskinramp.daemon.worker.Workers;
import org.siskinramp.host.EntryHost;
import org.siskinramp.host.EntryHostOptions;
import org.siskinramp.host.HostIdentity;
import org.siskinramp.ledger.LedgerOptions;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.membership.Member;
import org.siskinramp.membership.MembershipOptions;
import org.siskinramp.ticket.FollowerOptions;
import org.siskinramp.time.Clock;

/**
 * Provides an entry host and its connections to callers, backend servers, other entry hosts and the
 * platform.
 */
@Module
final class EntryHostModule {

    private EntryHostModule() {}

    @Provides
    @Singleton
    static SecureRandom secureRandom() {
        return new SecureRandom();
    }

    @Provides
    @Singleton
    static HostIdentity hostIdentity(Settings settings, SecureRandom random) {
        return new HostIdentity(
                settings.host().name(),
                settings.host().availabilityZone(),
                HexFormat.of().toHexDigits(random.nextLong()));
    }

    @Provides
    @Singleton
    static HttpPlatform platform(
            Settings settings, Clock clock, Workers workers, EventLog eventLog, Counters counters) {
        HttpPlatformOptions options =
                HttpPlatformOptions.builder()
                        .address(settings.platform().address().getAuthority())
                        .timeoutMilliseconds(settings.platform().requestTimeoutMilliseconds())
                        .build();
        return new HttpPlatform(options, clock, workers, eventLog, counters);
    }

    @Provides
    @Singleton
    static JettyBackendServerLink backendServerLink(
            Settings settings,
            HostIdentity identity,
            Clock clock,
            Workers workers,
            EventLog eventLog,
            Counters counters) {
        BackendServerLinkOptions options =
                BackendServerLinkOptions.builder()
                        .hostName(identity.name())
                        .incarnation(identity.incarnation())
                        .exchange(
                                ExchangeOptions.builder()
                                        .answerLimitBytes(settings.callerSide().answerLimitBytes())
                                        .build())
                        .build();
        return new JettyBackendServerLink(options, clock, workers, eventLog, counters);
    }

    @Provides
    @Singleton
    static PeerLink peerLink(
            Settings settings,
            HostIdentity identity,
            SecureRandom random,
            Lazy<EntryHost> entryHost,
            Clock clock,
            Workers workers,
            EventLog eventLog,
            Metrics metrics) {
        InetSocketAddress address = settings.peerLink().address();
        PeerLinkOptions options =
                PeerLinkOptions.builder()
                        .hostName(identity.name())
                        .incarnation(identity.incarnation())
                        .host(address.getAddress().getHostAddress())
                        .port(address.getPort())
                        .frameLimitBytes(settings.peerLink().frameLimitBytes())
                        .receiptTimeoutMilliseconds(receiptTimeoutMilliseconds(settings.control()))
                        .seed(random.nextLong())
                        .build();
        return new PeerLink(
                options,
                name -> addressOf(entryHost.get(), name),
                (host, message) -> entryHost.get().receive(host, message),
                workers,
                clock,
                eventLog,
                metrics,
                metrics);
    }

    /**
     * Returns the receipt timeout of a link to another entry host. It is shorter than the lease
     * term, so that a broken link can be replaced before the lease ends.
     */
    private static long receiptTimeoutMilliseconds(Settings.Control control) {
        return control.leaseMilliseconds() * 3L / 4;
    }

    private static Optional<String> addressOf(EntryHost entryHost, String name) {
        return entryHost.membership().view().members().stream()
                .filter(member -> member.name().equals(name))
                .map(Member::peerAddress)
                .findFirst();
    }

    @Provides
    static EntryHostOptions entryHostOptions(Settings settings) {
        Settings.Control control = settings.control();
        return new EntryHostOptions(
                MembershipOptions.builder()
                        .heartbeatIntervalMilliseconds(control.heartbeatIntervalMilliseconds())
                        .leaseTermMilliseconds(control.leaseMilliseconds())
                        .build(),
                settings.routing().policy().options(),
                LedgerOptions.builder().build(),
                new FollowerOptions(
                        control.configurationPollMilliseconds(),
                        2L * control.configurationPollMilliseconds()),
                EntryHostOptions.defaults().tickIntervalMilliseconds());
    }

    @Provides
    @Singleton
    static EntryHost entryHost(
            HostIdentity identity,
            EntryHostOptions options,
            SecureRandom random,
            Clock clock,
            Workers workers,
            HttpPlatform platform,
            JettyBackendServerLink backendServers,
            PeerLink peers,
            EventLog eventLog,
            Counters counters) {
        return EntryHost.builder()
                .identity(identity)
                .options(options)
                .clock(clock)
                .scheduler(workers)
                .random(RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong()))
                .platform(platform)
                .backendServerLink(backendServers)
                .peerSender(peers)
                .eventLog(eventLog)
                .counters(counters)
                .build();
    }

    @Provides
    @Singleton
    static CallerServer callerServer(
            Settings settings,
            EntryHost entryHost,
            Clock clock,
            EventLog eventLog,
            Counters counters) {
        Settings.CallerSide callerSide = settings.callerSide();
        CallerServerOptions options =
                CallerServerOptions.builder()
                        .host(callerSide.address().getAddress().getHostAddress())
                        .port(callerSide.address().getPort())
                        .headerLimitBytes(callerSide.headerLimitBytes())
                        .bodyLimitBytes(callerSide.bodyLimitBytes())
                        .idleTimeoutMilliseconds(callerSide.idleTimeoutMilliseconds())
                        .concurrentRequestLimit(callerSide.concurrentRequestLimit())
                        .defaultDeadlineMilliseconds(callerSide.defaultDeadlineMilliseconds())
                        .drainTimeoutMilliseconds(0)
                        .build();
        return new CallerServer(
                entryHost::handle, entryHost::configuration, clock, eventLog, counters, options);
    }
}
