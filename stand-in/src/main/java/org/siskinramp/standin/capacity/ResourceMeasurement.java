package org.siskinramp.standin.capacity;

import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;

/** Measures processing time and heap memory in the current process. */
final class ResourceMeasurement {

    private static final int ROUNDS = 5;
    private static final int GARBAGE_COLLECTIONS = 3;
    private static final long NANOSECONDS_PER_MICROSECOND = 1_000;

    private ResourceMeasurement() {}

    /** Returns the median time of several rounds, after one warm-up round. */
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

    /** Returns the median of the heap memory that each object from a factory retains, in bytes. */
    static long retainedBytes(Supplier<Object> factory) {
        List<Object> retained = new ArrayList<>();
        try {
            retained.add(factory.get());
            long[] added = new long[ROUNDS];
            long before = bytesInUse();
            for (int round = 0; round < ROUNDS; round++) {
                retained.add(factory.get());
                long after = bytesInUse();
                added[round] = after - before;
                before = after;
            }
            Arrays.sort(added);
            return added[ROUNDS / 2];
        } finally {
            Reference.reachabilityFence(retained);
        }
    }

    private static long bytesInUse() {
        for (int collection = 0; collection < GARBAGE_COLLECTIONS; collection++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
