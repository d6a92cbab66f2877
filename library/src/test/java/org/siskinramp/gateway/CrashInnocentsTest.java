package org.siskinramp.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Servers end in groups, and none by its requests: half of the requests are a few popular ones,
 * which stand under several servers that end together, the others come once and once more after a
 * failure.
 */
class CrashInnocentsTest {

    private static final int SERVERS = 12;
    private static final int GROUP = 4;
    private static final int POPULAR = 20;
    private static final long PLAYED_MILLISECONDS = 60_000;
    private static final long END_EVERY_MILLISECONDS = 1_500;
    private static final long AWAY_MILLISECONDS = 1_000;
    private static final int CRASHES_TO_REFUSE = 3;

    private final CrashWorld world = new CrashWorld();

    private void play(long seed, ModelServers.End end) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int number = 0; number < SERVERS; number++) {
            world.publish("server-" + number).endsAs(end);
        }
        for (long now = 0; now < PLAYED_MILLISECONDS; now += 5) {
            String content =
                    random.nextBoolean() ? "popular-" + popular(random) : "single-" + now / 400;
            var unused = world.send(content);
            if (now % END_EVERY_MILLISECONDS == 0) {
                int first = random.nextInt(SERVERS);
                for (int each = 0; each < GROUP; each++) {
                    world.servers().all().get((first + each) % SERVERS).endIfUp();
                }
            }
            world.restartEnded(AWAY_MILLISECONDS);
            world.time().advance(5);
        }
    }

    /** The most popular one comes half of the time, the next one a quarter, and so on. */
    private static int popular(SplittableRandom random) {
        int rank = 0;
        while (rank < POPULAR && random.nextBoolean()) {
            rank++;
        }
        return rank;
    }

    private long contentsWithThree(String... beginnings) {
        Map<String, Integer> counts = new HashMap<>();
        for (String line : world.events()) {
            if (List.of(beginnings).stream().anyMatch(line::startsWith)) {
                String content = line.replaceAll(".* content=(\\S+).*", "$1");
                counts.merge(content, 1, Integer::sum);
            }
        }
        return counts.values().stream().filter(count -> count >= CRASHES_TO_REFUSE).count();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void noneIsRefused(long seed) {
        assertNoneRefused(seed, ModelServers.End.REFUSES);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void noneIsRefusedWhenServersThatEndedCutConnections(long seed) {
        assertNoneRefused(seed, ModelServers.End.CUTS);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void noneIsRefusedWhenServersThatEndedAreSilent(long seed) {
        assertNoneRefused(seed, ModelServers.End.SILENT);
    }

    private void assertNoneRefused(long seed, ModelServers.End end) {
        play(seed, end);
        assertTrue(contentsWithThree("event=crash ", "event=crash_excused ") > 0, "servers ended");
        assertEquals(0, contentsWithThree("event=quarantined "));
        assertEquals(
                0,
                world.events().stream()
                        .filter(line -> line.startsWith("event=quarantined "))
                        .count());
    }
}
