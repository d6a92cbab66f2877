package org.siskinramp.daemon.exchange;

import java.util.IdentityHashMap;
import java.util.Map;

/**
 * Limits the memory that the answers of all exchanges take up while they are read. If many servers
 * send endless answers at the same time, the exchange with the largest answer is aborted, so that
 * exchanges with answers of usual size continue.
 */
final class AnswerBufferLimiter {

    private final long limitBytes;
    private final IdentityHashMap<BufferOwner, Long> bytesByOwner = new IdentityHashMap<>();
    private long totalBytes;

    AnswerBufferLimiter(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** An exchange that buffers the bytes of an answer. */
    interface BufferOwner {

        /** Aborts the exchange, whose bytes are no longer counted. */
        void abortForMemory();
    }

    /**
     * Sets the bytes of an owner. If the total exceeds the limit, aborts the one with most bytes.
     */
    void resizeTo(BufferOwner owner, long bytes) {
        BufferOwner largest = null;
        synchronized (this) {
            release(owner);
            bytesByOwner.put(owner, bytes);
            totalBytes += bytes;
            if (totalBytes > limitBytes) {
                largest = largest();
                release(largest);
            }
        }
        if (largest != null) {
            largest.abortForMemory();
        }
    }

    private BufferOwner largest() {
        return bytesByOwner.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElseThrow();
    }

    /** Stops counting the bytes of an owner. */
    synchronized void release(BufferOwner owner) {
        Long bytes = bytesByOwner.remove(owner);
        if (bytes != null) {
            totalBytes -= bytes;
        }
    }

    synchronized long totalBytes() {
        return totalBytes;
    }
}
