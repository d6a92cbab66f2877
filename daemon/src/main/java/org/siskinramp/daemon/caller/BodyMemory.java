package org.siskinramp.daemon.caller;

import java.util.concurrent.atomic.AtomicLong;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Bounds the bytes that the bodies of all open requests hold together. */
final class BodyMemory {

    private final long limitBytes;
    private final AtomicLong heldBytes = new AtomicLong();

    BodyMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Starts the count of one request, with the length that it announces or zero. */
    Share open(long announcedBytes) {
        Share share = new Share();
        share.growTo(Math.max(0, announcedBytes));
        return share;
    }

    long heldBytes() {
        return heldBytes.get();
    }

    private void take(long bytes) {
        if (heldBytes.addAndGet(bytes) > limitBytes) {
            heldBytes.addAndGet(-bytes);
            throw new ResultException(
                    ResultCode.TOO_MANY_REQUESTS, "bodies_limit_bytes=" + limitBytes);
        }
    }

    /** Counts the bytes of one request. */
    final class Share {

        private long bytes;

        private Share() {}

        /** Counts at least so many bytes; throws a {@link ResultException} past the limit. */
        synchronized void growTo(long wantedBytes) {
            if (wantedBytes > bytes) {
                take(wantedBytes - bytes);
                bytes = wantedBytes;
            }
        }

        synchronized void release() {
            heldBytes.addAndGet(-bytes);
            bytes = 0;
        }
    }
}
