package org.siskinramp.standin.capacity;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.simple.RandomSource;
import org.siskinramp.ledger.ClaimLedger;
import org.siskinramp.ledger.ClaimResult;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.request.Answer;
import org.siskinramp.result.ResultCode;

/** Measures how transactions and processor time of a host grow with its claims per second. */
final class ClaimBenchmark implements ScalingBenchmark {

    private static final int[] CLAIMS_PER_SECOND = {10, 100, 1_000, 4_000};
    private static final int MEASURED_SECONDS = 5;
    private static final int MILLISECONDS_PER_SECOND = 1_000;
    private static final long SEED = 7;

    @Override
    public void measure(EventLog output) {
        for (int claims : CLAIMS_PER_SECOND) {
            new Run(claims).measure(ignored -> {});
            new Run(claims).measure(output);
        }
    }

    private static final class Run {

        private final VirtualTime time = new VirtualTime();
        private final CountingPlatform platform = new CountingPlatform(time);
        private final Answer answer = new Answer(ResultCode.ANSWERED, 200, List.of(), new byte[64]);
        private final int claimsPerSecond;
        private final ClaimLedger ledger;
        private int granted;
        private int refused;

        private Run(int claimsPerSecond) {
            this.claimsPerSecond = claimsPerSecond;
            ledger =
                    ClaimLedger.builder()
                            .platform(platform)
                            .clock(time)
                            .scheduler(time)
                            .random(RandomSource.XO_RO_SHI_RO_128_PP.create(SEED))
                            .eventLog(event -> {})
                            .counters((counter, amount) -> {})
                            .host(SampleConfigurations.host(0), "1")
                            .build();
        }

        private void measure(EventLog output) {
            long start = System.nanoTime();
            int claims = claimsPerSecond * MEASURED_SECONDS;
            for (int claim = 0; claim < claims; claim++) {
                long dueMilliseconds = (long) claim * MILLISECONDS_PER_SECOND / claimsPerSecond;
                time.advance(dueMilliseconds - time.monotonicMilliseconds());
                claim("order-" + claim);
            }
            time.advance(MILLISECONDS_PER_SECOND);
            long nanoseconds = System.nanoTime() - start;
            output.record(
                    LogEvent.named("slope")
                            .with("part", "claims")
                            .with("claims_per_second", claimsPerSecond)
                            .with("granted", granted)
                            .with("refused", refused)
                            .with(
                                    "transactions_per_second",
                                    platform.transactions() / MEASURED_SECONDS)
                            .with("rows_per_transaction", perTransaction(platform.writes()))
                            .with(
                                    "value_bytes_per_row",
                                    platform.valueCharacters() / platform.writes())
                            .with("nanoseconds_per_claim", nanoseconds / claims));
        }

        private long perTransaction(long count) {
            return Math.round((double) count / platform.transactions());
        }

        private void claim(String identifier) {
            CompletableFuture<Void> unused =
                    ledger.claim(
                                    RoutingHost.request(
                                            SampleConfigurations.ORDER,
                                            identifier,
                                            time.monotonicMilliseconds()))
                            .handle(this::finish);
        }

        private Void finish(ClaimResult result, Throwable failure) {
            if (result instanceof ClaimResult.Granted grant) {
                granted++;
                CompletableFuture<Void> unused = ledger.recordOutcome(grant.claim(), answer);
            } else {
                refused++;
            }
            return null;
        }
    }
}
