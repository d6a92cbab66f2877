package org.siskinramp.daemon.peer;

/**
 * Reports when a link is lost and when it is back. Tries in between are only counted, so that a
 * peer that stays away does not fill the log.
 */
final class LinkHistory {

    private static final String DIRECTION = "out";

    private final String peer;
    private final LinkReports reports;
    private boolean answered;
    private int failures;

    LinkHistory(String peer, LinkReports reports) {
        this.peer = peer;
        this.reports = reports;
    }

    /** Notes a receipt of the peer; only that shows that a link works. */
    void answered() {
        if (!answered) {
            reports.opened(peer, DIRECTION, failures);
            answered = true;
            failures = 0;
        }
    }

    /** Notes that the link broke or could not be opened. */
    void failed(Object reason) {
        reports.linkFailed();
        if (failures == 0) {
            reports.closed(peer, DIRECTION, reason);
        }
        answered = false;
        failures++;
    }
}
