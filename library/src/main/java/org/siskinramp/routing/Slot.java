package org.siskinramp.routing;

import org.siskinramp.slot.SlotKey;

/** Keeps what one slot is used for. It is guarded by the lock of the service. */
final class Slot {

    /** What a slot is used for. */
    enum Use {
        /** Nothing is in progress. */
        IDLE,
        /** A request of this host is in progress. */
        BUSY,
        /** A cancelled request may still be in progress for a moment. */
        LINGERING,
        /** Another host may use it. */
        LENT
    }

    private final SlotKey key;
    private final String lender;
    private final long loanNumber;
    private final long usableUntil;
    private final String bootIdentity;
    private volatile boolean held = true;
    private Use use = Use.IDLE;
    private long useEnds;
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
     * Creates a slot whose home is this host, or that this host took over.
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
     * @param usableUntil until when requests may start, in monotonic milliseconds
     * @param bootIdentity the start of the server that is lent
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

    /** Returns which start of the server was lent. */
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
        return use == Use.IDLE || (use != Use.BUSY && now >= useEnds);
    }

    void begin() {
        use = Use.BUSY;
    }

    /** Counts an answer in time to a request in this slot. */
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
        useEnds = until;
    }

    /** Returns which start of the server a borrower was told. */
    String lentBootIdentity() {
        return lentBootIdentity;
    }

    void lend(String host, String toldBootIdentity, long until) {
        use = Use.LENT;
        borrower = host;
        lentBootIdentity = toldBootIdentity;
        useEnds = until;
    }

    /** Ends a loan or a linger whose time is over. */
    void settle(long now) {
        if (use != Use.IDLE && use != Use.BUSY && now >= useEnds) {
            use = Use.IDLE;
        }
    }
}
