package org.siskinramp.standin.platform;

/** Holds the faults that are currently injected. */
final class FaultState {

    private PlatformFaults faults = PlatformFaults.NONE;

    synchronized void change(PlatformFaults change) {
        faults = faults.changedBy(change);
    }

    synchronized PlatformFaults current() {
        return faults;
    }

    /**
     * Tells whether the answer to the current write is to be lost, and if so, decrements the number
     * of answers that are still to be lost.
     */
    synchronized boolean consumeLostAnswer() {
        int remaining = faults.loseAnswers();
        if (remaining <= 0) {
            return false;
        }
        change(new PlatformFaults(null, null, remaining - 1, null));
        return true;
    }
}
