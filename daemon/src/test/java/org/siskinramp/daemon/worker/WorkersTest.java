package org.siskinramp.daemon.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.siskinramp.log.Counter;
import org.siskinramp.log.LogEvent;

final class WorkersTest {

    private static final int TIMEOUT_SECONDS = 20;

    private final Queue<LogEvent> events = new ConcurrentLinkedQueue<>();
    private final Queue<Counter> counted = new ConcurrentLinkedQueue<>();
    private final Workers workers =
            new Workers(1, events::add, (counter, amount) -> counted.add(counter));

    @AfterEach
    void stop() {
        workers.stop();
    }

    @Test
    void aFailedTaskIsLoggedAndTheWorkerContinues() throws Exception {
        workers.execute(
                () -> {
                    throw new IllegalStateException("broken");
                });
        workers.schedule(
                1,
                () -> {
                    throw new AssertionError("broken too");
                });
        awaitDelay(20);

        assertEquals(List.of("worker_failed", "worker_failed"), eventNames());
        assertTrue(
                events.peek()
                        .toLine()
                        .contains("cause=\"java.lang.IllegalStateException: broken\""));
        assertEquals(
                List.of(Counter.INVARIANT_VIOLATIONS, Counter.INVARIANT_VIOLATIONS),
                List.copyOf(counted));
    }

    @Test
    void delayedTasksRunAfterATaskBlockedAllWorkers() throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        workers.execute(() -> awaitQuietly(blocked));
        CompletableFuture<Void> ran = new CompletableFuture<>();
        workers.schedule(1, () -> ran.complete(null));
        blocked.countDown();

        ran.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void tasksSubmittedAfterStopAreDropped() {
        workers.stop();

        workers.execute(() -> events.add(LogEvent.named("ran")));
        workers.schedule(1, () -> events.add(LogEvent.named("ran")));

        assertEquals(0, workers.queuedTasks());
        assertEquals(List.of(), eventNames());
    }

    private void awaitDelay(long milliseconds) throws Exception {
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        workers.schedule(milliseconds, () -> elapsed.complete(null));
        elapsed.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private List<String> eventNames() {
        return events.stream().map(LogEvent::name).toList();
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
