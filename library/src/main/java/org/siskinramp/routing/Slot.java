package org.siskinramp.routing;

import org.siskinramp.slot.SlotKey;

/** Holds the state of one slot. It is guarded by the lock of the service. */
final class Slot {

    /** Whether a slot is in use, and for what. */
    enum Use {
        /** No request is in progress. */
        IDLE,
        /** A request of this host is in progress. */
        BUSY,
        /** An attempt was given up, but its request may still run on the server for a moment. */
        LINGERING,
        /** The slot is lent to another host. */
        LENT
    }

    private final SlotKey key;
    private final String lender;
    private final long loanNumber;
    private final long usableUntil;
    private final String bootIdentity;
    private volatile boolean held = true;
    private Use use = Use.IDLE;
    private long useEndsAt;
    private int answers;
    private String borrower;
    private String lentBootIdentity = "";

    private Slot(
            SlotKey key, String lender, long loanNumber, long usableUntil, String bootIdentity) {
        this.key = key;
        this.lender = lender;
        this.loanNumber = loanNumber;
        this.usableUntil = usableUntil;
        this.bootIdentity = bootIdentity;
    }

    /**
     * Creates a slot that is assigned to this host.
     *
     * @param key the slot
     * @return an idle slot
     */
    static Slot own(SlotKey key) {
        return new Slot(key, null, 0, Long.MAX_VALUE, "");
    }

    /**
     * Creates a slot that another host lent.
     *
     * @param key the slot
     * @param lender the lending host
     * @param loanNumber the lender's number of the loan
     * @param usableUntil until when requests may start in it, in monotonic milliseconds
     * @param bootIdentity the boot identity of the server process that the loan applies to
     * @return an idle slot
     */
    static Slot borrowed(
            SlotKey key, String lender, long loanNumber, long usableUntil, String bootIdentity) {
        return new Slot(key, lender, loanNumber, usableUntil, bootIdentity);
    }

    SlotKey key() {
        return key;
    }

    boolean isBorrowed() {
        return lender != null;
    }

    String lender() {
        return lender;
    }

    long loanNumber() {
        return loanNumber;
    }

    /** Returns the boot identity of the server process that a borrowed slot applies to. */
    String bootIdentity() {
        return bootIdentity;
    }

    long usableUntil() {
        return usableUntil;
    }

    boolean isHeld() {
        return held;
    }

    void setHeld(boolean value) {
        held = value;
    }

    Use use() {
        return use;
    }

    String borrower() {
        return borrower;
    }

    boolean isIdle(long now) {
        return use == Use.IDLE || (use != Use.BUSY && now >= useEndsAt);
    }

    void begin() {
        use = Use.BUSY;
    }

    /** Counts a successful answer to a request in this slot. */
    void countAnswer() {
        answers++;
    }

    int answers() {
        return answers;
    }

    void end() {
        use = Use.IDLE;
    }

    void linger(long until) {
        use = Use.LINGERING;
        useEndsAt = until;
    }

    /** Returns the boot identity of the server process that a loan to another host applies to. */
    String lentBootIdentity() {
        return lentBootIdentity;
    }

    void lend(String host, String serverBootIdentity, long until) {
        use = Use.LENT;
        borrower = host;
        lentBootIdentity = serverBootIdentity;
        useEndsAt = until;
    }

    /** Makes the slot idle if its loan or its lingering time has ended. */
    void expireUse(long now) {
        if (use != Use.IDLE && use != Use.BUSY && now >= useEndsAt) {
            use = Use.IDLE;
        }
    }
}
