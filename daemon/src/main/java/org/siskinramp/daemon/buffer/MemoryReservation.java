package org.siskinramp.daemon.buffer;

/** Reserves memory for one message within the limit of all messages. */
@FunctionalInterface
public interface MemoryReservation {

    /**
     * Changes how much memory is reserved.
     *
     * @param bytes the memory that the message needs from now on
     * @throws org.siskinramp.result.ResultException if the limit of all messages would be exceeded
     */
    void resizeTo(long bytes);
}
