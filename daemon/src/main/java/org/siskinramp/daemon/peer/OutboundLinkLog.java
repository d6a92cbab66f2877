package org.siskinramp.daemon.peer;

/**
 * Logs when an outbound link fails and when it works again. Failures in between are only counted,
 * so that an unreachable peer does not flood the log.
 */
final class OutboundLinkLog {

    private static final String DIRECTION = "out";

    private final String peer;
    private final LinkReports reports;
    private boolean working;
    private int failures;

    OutboundLinkLog(String peer, LinkReports reports) {
        this.peer = peer;
        this.reports = reports;
    }

    /** Records a receipt; a link counts as working only once the peer has sent one. */
    void recordReceipt() {
        if (!working) {
            reports.linkOpened(peer, DIRECTION, failures);
            working = true;
            failures = 0;
        }
    }

    /** Records that the link broke or could not be opened. */
    void recordFailure(Object reason) {
        reports.linkFailed();
        if (failures == 0) {
            reports.linkClosed(peer, DIRECTION, reason);
        }
        working = false;
        failures++;
    }
}
