package org.siskinramp.standin.capacity;

import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;

/** Measures time and memory within this process. */
final class Measurement {

    private static final int ROUNDS = 5;
    private static final int COLLECTIONS = 3;
    private static final long NANOSECONDS_PER_MICROSECOND = 1_000;

    private Measurement() {}

    /** Returns the median time of a few rounds after one that is not counted. */
    static double medianMicroseconds(Runnable work) {
        work.run();
        long[] times = new long[ROUNDS];
        for (int round = 0; round < ROUNDS; round++) {
            times[round] = nanoseconds(work);
        }
        Arrays.sort(times);
        return (double) times[ROUNDS / 2] / NANOSECONDS_PER_MICROSECOND;
    }

    private static long nanoseconds(Runnable work) {
        long start = System.nanoTime();
        work.run();
        return System.nanoTime() - start;
    }

    /** Returns how many bytes more are in use after something was made and kept: the median. */
    static long bytesHeld(Supplier<Object> maker) {
        List<Object> kept = new ArrayList<>();
        try {
            kept.add(maker.get());
            long[] added = new long[ROUNDS];
            long before = bytesInUse();
            for (int round = 0; round < ROUNDS; round++) {
                kept.add(maker.get());
                long after = bytesInUse();
                added[round] = after - before;
                before = after;
            }
            Arrays.sort(added);
            return added[ROUNDS / 2];
        } finally {
            Reference.reachabilityFence(kept);
        }
    }

    private static long bytesInUse() {
        for (int collection = 0; collection < COLLECTIONS; collection++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
