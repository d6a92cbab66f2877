package org.siskinramp.daemon.exchange;

import java.util.IdentityHashMap;
import java.util.Map;

/**
 * Bounds the bytes that the answers of all exchanges hold together while they are read. Answers
 * servers that send without end, many at a time: the exchange that holds most is stopped, so that
 * those with usual answers go on.
 */
final class AnswerMemory {

    private final long limitBytes;
    private final IdentityHashMap<Holder, Long> held = new IdentityHashMap<>();
    private long totalBytes;

    AnswerMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Holds bytes of an answer. */
    interface Holder {

        /** Stops the exchange, whose bytes are no longer counted. */
        void stop();
    }

    /** Counts more bytes of a holder, and stops the holder of most bytes if there are too many. */
    void grow(Holder holder, int bytes) {
        Holder largest = null;
        synchronized (this) {
            held.merge(holder, (long) bytes, Long::sum);
            totalBytes += bytes;
            if (totalBytes > limitBytes) {
                largest = largest();
                release(largest);
            }
        }
        if (largest != null) {
            largest.stop();
        }
    }

    private Holder largest() {
        return held.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElseThrow();
    }

    /** Counts the bytes of a holder no longer. */
    synchronized void release(Holder holder) {
        Long bytes = held.remove(holder);
        if (bytes != null) {
            totalBytes -= bytes;
        }
    }

    synchronized long totalBytes() {
        return totalBytes;
    }
}
