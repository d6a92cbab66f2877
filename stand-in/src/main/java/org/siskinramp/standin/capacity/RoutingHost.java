package org.siskinramp.standin.capacity;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.simple.RandomSource;
import org.siskinramp.attempt.Attempt;
import org.siskinramp.attempt.AttemptAnswer;
import org.siskinramp.attempt.BackendServerLink;
import org.siskinramp.attempt.LoadReport;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.peer.ServerAllowance;
import org.siskinramp.request.Answer;
import org.siskinramp.request.Request;
import org.siskinramp.request.RequestKey;
import org.siskinramp.request.RequestKind;
import org.siskinramp.result.ResultCode;
import org.siskinramp.routing.CrashSuspectTracker;
import org.siskinramp.routing.MessageRateLimiter;
import org.siskinramp.routing.RoutingEnvironment;
import org.siskinramp.routing.RoutingOptions;
import org.siskinramp.routing.ServiceRouter;
import org.siskinramp.slot.SlotAuthority;
import org.siskinramp.slot.SlotKey;

/** Routes the requests of one service to simulated backend servers that answer immediately. */
final class RoutingHost {

    private static final long WARM_UP_MILLISECONDS = 1_000;
    private static final long TICK_MILLISECONDS = 10;
    private static final long SEED = 7;
    private static final LoadReport LOAD_REPORT = new LoadReport("boot-1", 0, false);

    private final VirtualTime time = new VirtualTime();
    private final ServiceRouter router;
    private long nextRequest;
    private long answered;
    private long logBytes;

    RoutingHost(Configuration configuration) {
        RoutingOptions options = RoutingOptions.builder().build();
        router =
                new ServiceRouter(
                        environment(),
                        options,
                        configuration.service("service-0").orElseThrow(),
                        new MessageRateLimiter(time, options.loanMessagesPerSecond()),
                        new DiscardingMessenger());
        router.apply(configuration);
        Set<SlotKey> held = new HashSet<>();
        for (BackendServer server : configuration.backendServers()) {
            for (int index = 0; index < server.slots(); index++) {
                held.add(new SlotKey(server.name(), index));
            }
        }
        router.applyHoldings(held);
        for (long elapsedMilliseconds = 0;
                elapsedMilliseconds < WARM_UP_MILLISECONDS;
                elapsedMilliseconds += TICK_MILLISECONDS) {
            time.advance(TICK_MILLISECONDS);
            router.tick();
        }
    }

    private RoutingEnvironment environment() {
        return new RoutingEnvironment(
                SampleConfigurations.host(0),
                SampleConfigurations.availabilityZone(0),
                time,
                time,
                new ImmediateServers(),
                (host, message) -> {},
                event -> logBytes += event.toLine().length(),
                (counter, amount) -> {},
                RandomSource.XO_RO_SHI_RO_128_PP.create(SEED),
                new UnlimitedAuthority(),
                slot -> {},
                CrashSuspectTracker.NONE);
    }

    void submit(int requests) {
        for (int count = 0; count < requests; count++) {
            router.submit(request(time.monotonicMilliseconds()));
        }
    }

    private Request request(long now) {
        return request(SampleConfigurations.READ, "request-" + nextRequest++, now);
    }

    static Request request(RequestKind kind, String identifier, long now) {
        return Request.builder()
                .key(new RequestKey("crew-1", identifier))
                .service("service-0")
                .kind(kind)
                .method(kind.method())
                .target("/service-0/streets")
                .contentHash("0f4d6a7c8b9e")
                .arrivedMilliseconds(now)
                .deadlineMilliseconds(now + 1_000)
                .build();
    }

    void tick(int times) {
        for (int count = 0; count < times; count++) {
            router.tick();
        }
    }

    long answered() {
        return answered;
    }

    long logBytes() {
        return logBytes;
    }

    private final class ImmediateServers implements BackendServerLink {

        private final Answer answer = new Answer(ResultCode.ANSWERED, 200, List.of(), new byte[0]);

        @Override
        public CompletableFuture<AttemptAnswer> dispatch(Attempt attempt) {
            answered++;
            return CompletableFuture.completedFuture(new AttemptAnswer(answer, LOAD_REPORT));
        }

        @Override
        public void cancel(long attemptNumber) {}

        @Override
        public CompletableFuture<LoadReport> probe(BackendServer server) {
            return CompletableFuture.completedFuture(LOAD_REPORT);
        }
    }

    private static final class UnlimitedAuthority implements SlotAuthority {

        @Override
        public boolean isUsable(SlotKey slot) {
            return true;
        }

        @Override
        public long authorityUntilMilliseconds() {
            return Long.MAX_VALUE;
        }
    }

    private static final class DiscardingMessenger implements ServiceRouter.AllowanceMessenger {

        @Override
        public void broadcastReduction(ServerAllowance allowance) {}

        @Override
        public void reportColdSighting(String backendServer, String bootIdentity) {}

        @Override
        public void requestAllowance(String backendServer) {}
    }
}
