package org.siskinramp.host;

import java.util.function.Consumer;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.configuration.Service;
import org.siskinramp.journal.InquiryOptions;
import org.siskinramp.journal.Journal;
import org.siskinramp.journal.JournalOptions;
import org.siskinramp.journal.RequestInquiry;
import org.siskinramp.ledger.ClaimLedger;
import org.siskinramp.ledger.SuspectRequests;
import org.siskinramp.ledger.SuspicionOptions;
import org.siskinramp.membership.Membership;
import org.siskinramp.membership.ViewFollower;
import org.siskinramp.platform.Platform;
import org.siskinramp.platform.TimeLimitedPlatform;
import org.siskinramp.routing.MessageRateLimiter;
import org.siskinramp.routing.RoutingEnvironment;
import org.siskinramp.routing.ServiceRouter;
import org.siskinramp.routing.ServiceRouters;
import org.siskinramp.ticket.ConfigurationFollower;
import org.siskinramp.ticket.Tickets;

/** Creates the parts of an entry host and connects them. */
final class EntryHostParts {

    private static final long PLATFORM_TIMEOUT_MILLISECONDS = 1_000;

    private final EntryHostBuilder builder;
    private final Platform platform;
    private final ServiceRouters routers;
    private final AllowanceExchange allowanceExchange;
    private final Membership membership;
    private final ViewFollower viewFollower;
    private final Tickets tickets;
    private final ConfigurationFollower configurationFollower;
    private final ClaimLedger ledger;
    private final SuspectRequests suspectRequests;
    private final Journal journal;
    private final MessageRateLimiter loanMessageLimiter;

    EntryHostParts(EntryHostBuilder builder, Consumer<Configuration> configurationListener) {
        this.builder = builder;
        platform =
                new TimeLimitedPlatform(
                        builder.platform(),
                        builder.scheduler(),
                        builder.counters(),
                        PLATFORM_TIMEOUT_MILLISECONDS);
        loanMessageLimiter =
                new MessageRateLimiter(
                        builder.clock(), builder.options().routing().loanMessagesPerSecond());
        routers = new ServiceRouters(this::newRouter);
        allowanceExchange =
                new AllowanceExchange(builder.identity(), builder.peerSender(), routers);
        suspectRequests =
                new SuspectRequests(
                        builder.clock(),
                        builder.eventLog(),
                        SuspicionOptions.DEFAULT,
                        allowanceExchange::broadcast);
        membership = newMembership();
        allowanceExchange.setMembership(membership);
        viewFollower = newViewFollower();
        tickets = new Tickets(platform, builder.clock(), builder.scheduler(), builder.newRandom());
        configurationFollower =
                new ConfigurationFollower(
                        tickets,
                        builder.scheduler(),
                        builder.newRandom(),
                        builder.eventLog(),
                        builder.options().follower(),
                        configurationListener);
        ledger = newLedger();
        journal =
                new Journal(
                        builder.identity().name(),
                        builder.identity().incarnation(),
                        builder.platform(),
                        builder.clock(),
                        builder.scheduler(),
                        builder.eventLog(),
                        builder.counters(),
                        JournalOptions.DEFAULT);
    }

    private Membership newMembership() {
        return Membership.builder(builder.identity().name(), builder.identity().incarnation())
                .options(builder.options().membership())
                .clock(builder.clock())
                .scheduler(builder.scheduler())
                .sender(builder.peerSender())
                .eventLog(builder.eventLog())
                .counters(builder.counters())
                .contribution(allowanceExchange::contribution)
                .holdingsListener(routers::applyHoldings)
                .newerViewListener(version -> viewFollower().readIfNewer(version))
                .newerConfigurationListener(version -> configurationFollower().readIfNewer(version))
                .build();
    }

    private ViewFollower newViewFollower() {
        return new ViewFollower(
                builder.identity().name(),
                membership,
                platform,
                builder.clock(),
                builder.scheduler(),
                builder.newRandom(),
                builder.eventLog());
    }

    private ClaimLedger newLedger() {
        return ClaimLedger.builder()
                .platform(builder.platform())
                .clock(builder.clock())
                .scheduler(builder.scheduler())
                .random(builder.newRandom())
                .eventLog(builder.eventLog())
                .counters(builder.counters())
                .host(builder.identity().name(), builder.identity().incarnation())
                .options(builder.options().ledger())
                .hostCount(() -> membership.view().members().size())
                .build();
    }

    private ServiceRouter newRouter(Service service) {
        RoutingEnvironment environment =
                new RoutingEnvironment(
                        builder.identity().name(),
                        builder.identity().availabilityZone(),
                        builder.clock(),
                        builder.scheduler(),
                        builder.backendServerLink(),
                        builder.peerSender(),
                        builder.eventLog(),
                        builder.counters(),
                        builder.newRandom(),
                        membership,
                        membership,
                        suspectRequests);
        return new ServiceRouter(
                environment,
                builder.options().routing(),
                service,
                loanMessageLimiter,
                allowanceExchange);
    }

    ServiceRouters routers() {
        return routers;
    }

    AllowanceExchange allowanceExchange() {
        return allowanceExchange;
    }

    Membership membership() {
        return membership;
    }

    ViewFollower viewFollower() {
        return viewFollower;
    }

    Tickets tickets() {
        return tickets;
    }

    ConfigurationFollower configurationFollower() {
        return configurationFollower;
    }

    ClaimLedger ledger() {
        return ledger;
    }

    Journal journal() {
        return journal;
    }

    RequestInquiry inquiry() {
        return new RequestInquiry(
                platform, builder.clock(), JournalOptions.DEFAULT, InquiryOptions.DEFAULT);
    }

    SuspectRequests suspectRequests() {
        return suspectRequests;
    }
}
