package org.siskinramp.standin.cluster;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Waits for a time or for a condition, in real time. */
final class Waiting {

    private static final long POLL_INTERVAL_MILLISECONDS = 20;

    private Waiting() {}

    static void until(long seconds, Supplier<String> description, BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("not within " + seconds + " s: " + description.get());
            }
            milliseconds(POLL_INTERVAL_MILLISECONDS);
        }
    }

    static void milliseconds(long duration) {
        try {
            Thread.sleep(duration);
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
            throw new AssertionError(interruption);
        }
    }
}
