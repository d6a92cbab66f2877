package org.siskinramp.standin.platform;

/** Keeps the faults in force. */
final class FaultState {

    private PlatformFaults faults = PlatformFaults.NONE;

    synchronized void change(PlatformFaults change) {
        faults = faults.changedBy(change);
    }

    synchronized PlatformFaults current() {
        return faults;
    }

    /** Takes one of the answers that are to be lost, and tells whether there was one. */
    synchronized boolean takeLostAnswer() {
        int left = faults.loseAnswers();
        if (left <= 0) {
            return false;
        }
        change(new PlatformFaults(null, null, left - 1, null));
        return true;
    }
}
