package org.siskinramp.standin.caller;

import java.util.List;
import java.util.Optional;

/** The outcomes of all requests of a run. */
public final class LoadResult {

    private final List<LoadReport> reports;
    private final List<RequestRecord> records;

    LoadResult(List<LoadReport> reports, List<RequestRecord> records) {
        this.reports = List.copyOf(reports);
        this.records = List.copyOf(records);
    }

    /**
     * Returns the reports: one for each kind, then the total.
     *
     * @return the reports
     */
    public List<LoadReport> reports() {
        return reports;
    }

    /**
     * Returns the report on all kinds together.
     *
     * @return the total
     */
    public LoadReport total() {
        return reports.get(reports.size() - 1);
    }

    /**
     * Returns the report on a kind.
     *
     * @param kind the name of the kind
     * @return the report, or empty if the load has no such kind
     */
    public Optional<LoadReport> ofKind(String kind) {
        return reports.stream().filter(report -> report.kind().equals(kind)).findFirst();
    }

    /**
     * Returns the weighted share of requests that were answered in time, with the one answer that
     * belongs to them and without being run twice.
     *
     * @param deadlineMilliseconds the latency up to which an answer is in time, in milliseconds
     *     from the intended send time
     * @return a share from 0 to 1
     */
    public double servedShare(long deadlineMilliseconds) {
        double served = 0;
        double all = 0;
        for (RequestRecord requestRecord : records) {
            double weight = requestRecord.request().kind().weight();
            all += weight;
            served += requestRecord.isServed(deadlineMilliseconds * 1000) ? weight : 0;
        }
        return all == 0 ? 1 : served / all;
    }

    /**
     * Returns one line for each request, in the order of the intended send times.
     *
     * @return lines of key=value pairs
     */
    public List<String> lines() {
        return records.stream().map(requestRecord -> requestRecord.toEvent().toLine()).toList();
    }
}
