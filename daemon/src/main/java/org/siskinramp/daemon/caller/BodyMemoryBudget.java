package org.siskinramp.daemon.caller;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.siskinramp.daemon.buffer.MemoryReservation;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Limits the total memory, in bytes, of the bodies of all requests in progress. */
final class BodyMemoryBudget {

    /** Bodies are held as long as their requests are in progress, mostly less than this. */
    static final long RETRY_DELAY_MILLISECONDS = 500;

    private final long limitBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    BodyMemoryBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Reserves memory for the body of one request.
     *
     * @param announcedBytes the {@code Content-Length}, or a negative number if there is none
     * @throws ResultException with {@code TOO_MANY_REQUESTS} if the limit would be exceeded
     */
    Reservation reserve(long announcedBytes) {
        Reservation reservation = new Reservation();
        reservation.growTo(Math.max(0, announcedBytes));
        return reservation;
    }

    /**
     * Reserves memory for an answer that waits for earlier answers of its connection. It may take
     * only what leaves half of the limit free, so that callers that read nothing cannot have the
     * bodies of others refused.
     */
    Optional<Reservation> reserveSpare(long bytes) {
        if (reservedBytes() + bytes > limitBytes / 2) {
            return Optional.empty();
        }
        try {
            return Optional.of(reserve(bytes));
        } catch (ResultException limitReached) {
            return Optional.empty();
        }
    }

    long reservedBytes() {
        return reservedBytes.get();
    }

    private void add(long bytes) {
        if (reservedBytes.addAndGet(bytes) > limitBytes) {
            reservedBytes.addAndGet(-bytes);
            throw new ResultException(
                    ResultCode.TOO_MANY_REQUESTS,
                    "bodies_limit_bytes=" + limitBytes + " reserved_bytes=" + reservedBytes(),
                    RETRY_DELAY_MILLISECONDS);
        }
    }

    /** The memory that is reserved for the body of one request. */
    final class Reservation implements MemoryReservation {

        private long bytes;

        private Reservation() {}

        /**
         * Grows to at least {@code wantedBytes}; throws a {@link ResultException} past the limit.
         */
        synchronized void growTo(long wantedBytes) {
            if (wantedBytes > bytes) {
                add(wantedBytes - bytes);
                bytes = wantedBytes;
            }
        }

        @Override
        public synchronized void resizeTo(long wantedBytes) {
            if (wantedBytes < bytes) {
                reservedBytes.addAndGet(wantedBytes - bytes);
                bytes = wantedBytes;
            } else {
                growTo(wantedBytes);
            }
        }

        synchronized void release() {
            reservedBytes.addAndGet(-bytes);
            bytes = 0;
        }
    }
}
