package org.siskinramp.standin.caller;

import java.util.List;
import java.util.Optional;

/** Holds what became of all requests of a run. */
public final class LoadResult {

    private final List<LoadReport> reports;
    private final List<RequestRecord> records;

    LoadResult(List<LoadReport> reports, List<RequestRecord> records) {
        this.reports = List.copyOf(reports);
        this.records = List.copyOf(records);
    }

    /**
     * Returns the sums: one for each kind, and the total as the last.
     *
     * @return the reports
     */
    public List<LoadReport> reports() {
        return reports;
    }

    /**
     * Returns the sum over all kinds.
     *
     * @return the total
     */
    public LoadReport total() {
        return reports.get(reports.size() - 1);
    }

    /**
     * Returns the sum of a kind.
     *
     * @param kind the name of the kind
     * @return the report, or none if the load has no such kind
     */
    public Optional<LoadReport> ofKind(String kind) {
        return reports.stream().filter(report -> report.kind().equals(kind)).findFirst();
    }

    /**
     * Returns the share of requests that were answered once, in time and without duplication, each
     * counted with the weight of its kind.
     *
     * @param deadlineMilliseconds until when an answer is in time, from when the request was to be
     *     sent
     * @return a share from 0 to 1
     */
    public double servedShare(long deadlineMilliseconds) {
        double served = 0;
        double all = 0;
        for (RequestRecord entry : records) {
            double weight = entry.request().kind().weight();
            all += weight;
            served += entry.isServed(deadlineMilliseconds * 1000) ? weight : 0;
        }
        return all == 0 ? 1 : served / all;
    }

    /**
     * Returns one line for each request, in the order of sending.
     *
     * @return lines of key=value pairs
     */
    public List<String> lines() {
        return records.stream().map(entry -> entry.toEvent().toLine()).toList();
    }
}
