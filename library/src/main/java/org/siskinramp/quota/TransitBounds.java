package org.siskinramp.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.siskinramp.peer.QuotaStamp;

/**
 * Bounds the time of messages on the way without synchronised clocks. Each message returns the time
 * stamp of the last message in the other direction, and for how long its sender held that one. A
 * message whose time on the way cannot be bounded, a duplicate and a reordered message carry no
 * valid tokens. Not thread-safe; guarded by the lock of its owner.
 */
public final class TransitBounds {

    private static final long NO_ECHO = -1;

    /** Clocks of two hosts drift apart slightly, and are read in whole milliseconds. */
    private static final long TOLERANCE_MILLISECONDS = 5;

    private static final long NO_START = 0;

    private final TokenClock clock;
    private final long processStart;
    private final Map<String, Peer> peers = new HashMap<>();

    /**
     * Creates bounds without known hosts.
     *
     * @param clock the clock of this host
     * @param processStart a random number of at least 2^32 that identifies the start of this
     *     process
     */
    public TransitBounds(TokenClock clock, long processStart) {
        this.clock = clock;
        this.processStart = processStart;
    }

    /**
     * Stamps a message.
     *
     * @param host its receiver
     * @return the stamp
     */
    public QuotaStamp stampFor(String host) {
        Peer peer = peers.computeIfAbsent(host, name -> new Peer());
        peer.sentSequence++;
        boolean hasReceived = peer.receivedStamp != NO_ECHO;
        return new QuotaStamp(
                processStart,
                peer.sentSequence,
                stampedNow(),
                peer.receivedStamp,
                hasReceived ? clock.monotonicMilliseconds() - peer.receivedAt : 0);
    }

    /** The start is part of the time, so that another process of this host rejects the echo. */
    private long stampedNow() {
        return processStart + clock.milliseconds();
    }

    /**
     * Records a received message. If it was on the way for less than no time, this host was frozen.
     *
     * @param host its sender
     * @param stamp its stamp
     * @return an upper bound of its time on the way, empty if its tokens must be dropped
     */
    public OptionalLong receive(String host, QuotaStamp stamp) {
        Peer peer = peers.computeIfAbsent(host, name -> new Peer());
        if (!peer.accepts(stamp)) {
            return OptionalLong.empty();
        }
        peer.receivedStamp = stamp.sentMilliseconds();
        peer.receivedAt = clock.monotonicMilliseconds();
        long elapsed = stampedNow() - stamp.echoMilliseconds();
        boolean isEchoOfThisProcess =
                stamp.echoMilliseconds() >= processStart
                        && elapsed >= 0
                        && stamp.heldMilliseconds() >= 0;
        if (!isEchoOfThisProcess) {
            return OptionalLong.empty();
        }
        long transit = elapsed - stamp.heldMilliseconds();
        if (transit < -TOLERANCE_MILLISECONDS) {
            clock.addFrozen(-transit);
            return OptionalLong.of(0);
        }
        return OptionalLong.of(Math.max(0, transit));
    }

    /**
     * Tells whether a message to a host can carry tokens that the host is able to accept.
     *
     * @param host the receiver
     * @return whether a message of it was received
     */
    public boolean hasHeard(String host) {
        Peer peer = peers.get(host);
        return peer != null && peer.receivedStamp != NO_ECHO;
    }

    private static final class Peer {

        private long sentSequence;
        private long receivedStamp = NO_ECHO;
        private long receivedAt;
        private long start = NO_START;
        private long previousStart = NO_START;
        private long receivedSequence;

        /** Accepts messages in order, of the current process of the sender. */
        private boolean accepts(QuotaStamp stamp) {
            if (stamp.processStart() == start) {
                boolean isNew = stamp.sequence() > receivedSequence;
                receivedSequence = Math.max(receivedSequence, stamp.sequence());
                return isNew;
            }
            if (stamp.processStart() == previousStart) {
                return false;
            }
            previousStart = start;
            start = stamp.processStart();
            receivedSequence = stamp.sequence();
            return true;
        }
    }
}
