package org.siskinramp.fleet;

import org.siskinramp.attempt.LoadReport;

/**
 * Estimates the load of a server from its last load report and from the requests that this host has
 * sent since. Guarded by the lock of its owner.
 */
final class LoadEstimate {

    private static final int USUAL_SERVICE_TIME_PERCENT = 100;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private int reportedInProgress = LoadReport.UNKNOWN;
    private int reportedWaiting;
    private int serviceTimePercent = USUAL_SERVICE_TIME_PERCENT;
    private long reportedAt = NEVER;
    private int sentSinceReport;

    void forgetReport() {
        reportedInProgress = LoadReport.UNKNOWN;
        reportedAt = NEVER;
    }

    void update(LoadReport report, long now) {
        reportedInProgress = report.requestsInProgress();
        reportedWaiting = Math.max(0, report.requestsWaiting());
        serviceTimePercent =
                report.serviceTimePercent() > 0
                        ? report.serviceTimePercent()
                        : USUAL_SERVICE_TIME_PERCENT;
        reportedAt = now;
        sentSinceReport = 0;
    }

    boolean isReported() {
        return reportedInProgress >= 0;
    }

    long reportedAt() {
        return reportedAt;
    }

    int serviceTimePercent() {
        return serviceTimePercent;
    }

    int requestsInProgress() {
        return Math.max(0, reportedInProgress) + reportedWaiting + sentSinceReport;
    }

    void requestSent() {
        sentSinceReport++;
    }

    void requestEnded(long sentAt) {
        if (sentAt >= reportedAt) {
            sentSinceReport = Math.max(0, sentSinceReport - 1);
        } else if (reportedInProgress > 0) {
            reportedInProgress--;
        }
    }
}
