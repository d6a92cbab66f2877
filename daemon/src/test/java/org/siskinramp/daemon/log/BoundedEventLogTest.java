package org.siskinramp.daemon.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.siskinramp.log.LogEvent;
import org.siskinramp.time.Clock;

class BoundedEventLogTest {

    private static final int LINES_PER_SECOND = 3;
    private static final int EVENTS = 10_000;
    private static final long FLUSH_MILLISECONDS = 100;

    private final AtomicLong now = new AtomicLong();
    private final List<String> lines = new CopyOnWriteArrayList<>();
    private final Clock clock =
            new Clock() {
                @Override
                public long monotonicMilliseconds() {
                    return now.get();
                }

                @Override
                public long calendarMilliseconds() {
                    return now.get();
                }
            };

    @Test
    void writesUpToTheLimitOfEachEventAndCountsTheRest() throws Exception {
        BoundedEventLog log =
                new BoundedEventLog(event -> lines.add(event.toLine()), clock, LINES_PER_SECOND);
        for (int number = 0; number < 5; number++) {
            log.record(LogEvent.named("served"));
            log.record(LogEvent.named("refused"));
        }
        now.set(1_000);
        log.record(LogEvent.named("served"));
        log.start();
        await(8);
        assertEquals(4, lines.stream().filter("event=served"::equals).count());
        assertEquals(3, lines.stream().filter("event=refused"::equals).count());
        assertTrue(lines.contains("event=lines_left_out refused=2 served=2"));
    }

    @Test
    void aBlockedTargetDoesNotDelayRecording() {
        CountDownLatch never = new CountDownLatch(1);
        BoundedEventLog log =
                new BoundedEventLog(event -> awaitQuietly(never), clock, Integer.MAX_VALUE);
        log.start();
        long begun = System.nanoTime();
        for (int number = 0; number < EVENTS; number++) {
            log.record(LogEvent.named("served"));
        }
        assertTrue(System.nanoTime() - begun < 2_000_000_000L);
        never.countDown();
    }

    /** Guards against the loss of the last line of a process that exits after a flush. */
    @Test
    void aFlushWaitsForTheEventThatIsBeingWritten() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        BoundedEventLog log =
                new BoundedEventLog(
                        event -> {
                            begun.countDown();
                            awaitQuietly(released);
                            lines.add(event.toLine());
                        },
                        clock,
                        LINES_PER_SECOND);
        log.start();
        log.record(LogEvent.named("stopped"));
        begun.await();
        CompletableFuture<List<String>> flushed =
                CompletableFuture.supplyAsync(
                        () -> {
                            log.flush(1);
                            return List.copyOf(lines);
                        });
        Thread.sleep(FLUSH_MILLISECONDS);
        released.countDown();
        assertEquals(List.of("event=stopped"), flushed.get(5, TimeUnit.SECONDS));
    }

    private void await(int count) throws InterruptedException {
        long end = System.nanoTime() + 5_000_000_000L;
        while (lines.size() < count && System.nanoTime() < end) {
            Thread.sleep(2);
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
