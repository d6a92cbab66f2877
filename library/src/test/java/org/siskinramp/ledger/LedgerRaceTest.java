package org.siskinramp.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.siskinramp.log.Counter;
import org.siskinramp.platform.FakePlatform;
import org.siskinramp.platform.FakePlatform.Fault;
import org.siskinramp.platform.Platform;
import org.siskinramp.platform.RewritingPlatform;
import org.siskinramp.platform.Write;
import org.siskinramp.request.Answer;
import org.siskinramp.request.Request;
import org.siskinramp.request.RequestKey;
import org.siskinramp.request.RequestKind;
import org.siskinramp.result.ResultCode;
import org.siskinramp.time.VirtualTime;

/** Has several hosts claim the same few requests while calls to the platform fail in all ways. */
final class LedgerRaceTest {

    private static final int SEEDS = 200;
    private static final int KEYS = 4;
    private static final int CLAIMS = 150;
    private static final List<Fault> FAULTS = List.of(Fault.values());

    @Test
    void grantsEachRequestToOneHolderWhateverFails() {
        int granted = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Race race = new Race(seed, write -> write);
            assertEquals(List.of(), race.run(), "seed " + seed);
            granted += race.grants;
        }
        assertTrue(granted > 2 * SEEDS * KEYS, "granted: " + granted);
    }

    @Test
    void wouldGrantTwiceIfReleasesDeletedTheRow() {
        assertNotEquals(0, countViolations(LedgerRaceTest::deleteIfReleased, "granted to"));
    }

    private static long countViolations(UnaryOperator<Write> rewrite, String kind) {
        long violations = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            violations +=
                    new Race(seed, rewrite)
                            .run().stream().filter(text -> text.contains(kind)).count();
        }
        return violations;
    }

    private static Write deleteIfReleased(Write write) {
        boolean released = write.value().orElse("").contains("\"state\":\"released\"");
        return released && write.expectedVersion() > 0
                ? Write.delete(write.key(), write.expectedVersion())
                : write;
    }

    private static final class Race {

        private final VirtualTime time = new VirtualTime();
        private final FakePlatform platform = new FakePlatform(time);
        private final UniformRandomProvider random;
        private final List<ClaimLedger> ledgers = new ArrayList<>();
        private final Map<String, Claim> holders = new HashMap<>();
        private final Map<String, String> answers = new HashMap<>();
        private final List<String> violations = new ArrayList<>();
        private int grants;

        Race(long seed, UnaryOperator<Write> rewrite) {
            random = RandomSource.SPLIT_MIX_64.create(seed);
            Platform rewritingPlatform = new RewritingPlatform(platform, rewrite);
            for (int index = 0; index < 4; index++) {
                ledgers.add(
                        ClaimLedger.builder()
                                .platform(rewritingPlatform)
                                .clock(time)
                                .scheduler(time)
                                .random(RandomSource.SPLIT_MIX_64.create(seed + index))
                                .eventLog(event -> {})
                                .counters(this::count)
                                .host("entry-" + index, "a")
                                .build());
            }
        }

        private void count(Counter counter, long amount) {
            if (counter == Counter.INVARIANT_VIOLATIONS) {
                violations.add("violated an internal check");
            }
        }

        List<String> run() {
            platform.setDefaultFault(this::fault);
            platform.setLateMilliseconds(1_500);
            for (int index = 0; index < CLAIMS; index++) {
                platform.setDown(random.nextInt(10) == 0);
                var unused =
                        claim(random.nextInt(KEYS), ledgers.get(random.nextInt(ledgers.size())));
                time.advance(random.nextInt(300));
            }
            platform.setDown(false);
            platform.setDefaultFault(() -> Fault.NONE);
            time.advance(60_000);
            checkThatNoRequestIsBlocked();
            return violations;
        }

        private void checkThatNoRequestIsBlocked() {
            for (int number = 0; number < KEYS; number++) {
                CompletableFuture<ClaimResult> last = claim(number, ledgers.get(0));
                time.advance(1_000);
                if (last.isCompletedExceptionally()) {
                    violations.add("n" + number + " is blocked");
                }
            }
        }

        private Fault fault() {
            return random.nextInt(10) < 6 ? Fault.NONE : FAULTS.get(random.nextInt(FAULTS.size()));
        }

        private CompletableFuture<ClaimResult> claim(int number, ClaimLedger ledger) {
            String name = "n" + number;
            Request request =
                    Request.builder()
                            .key(new RequestKey("crew", name))
                            .service("dispatch")
                            .kind(new RequestKind("order", "POST", "/", false, 1))
                            .method("POST")
                            .target("/")
                            .contentHash("aa")
                            .deadlineMilliseconds(time.monotonicMilliseconds() + 900)
                            .build();
            CompletableFuture<ClaimResult> answered = ledger.claim(request);
            var unused =
                    answered.thenAccept(
                            result -> {
                                if (result instanceof ClaimResult.Granted granted) {
                                    granted(name, ledger, granted.claim());
                                } else if (result instanceof ClaimResult.Replayed replayed) {
                                    checkReplayedAnswer(name, replayed.answer());
                                }
                            });
            return answered;
        }

        private void granted(String name, ClaimLedger ledger, Claim claim) {
            grants++;
            Claim holder = holders.putIfAbsent(name, claim);
            if (holder != null) {
                violations.add(name + " held by " + holder + " granted to " + claim);
            }
            if (random.nextInt(10) < 8) {
                time.schedule(random.nextInt(200), () -> release(name, ledger, claim));
            } else {
                time.schedule(random.nextInt(400), () -> finish(name, ledger, claim));
            }
        }

        private void release(String name, ClaimLedger ledger, Claim claim) {
            holders.remove(name, claim);
            var unused = ledger.release(claim);
        }

        private void finish(String name, ClaimLedger ledger, Claim claim) {
            if (answers.put(name, claim.token()) != null) {
                violations.add(name + " ran twice");
            }
            byte[] body = claim.token().getBytes(StandardCharsets.UTF_8);
            var unused =
                    ledger.recordOutcome(
                            claim, new Answer(ResultCode.ANSWERED, 200, List.of(), body));
        }

        private void checkReplayedAnswer(String name, Answer answer) {
            String body = new String(answer.body(), StandardCharsets.UTF_8);
            if (!Optional.of(body).equals(Optional.ofNullable(answers.get(name)))) {
                violations.add(name + " was given the answer of another run");
            }
        }
    }
}
