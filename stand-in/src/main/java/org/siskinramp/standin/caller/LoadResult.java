package org.siskinramp.standin.caller;

import java.util.List;

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
     * Returns one line for each request, in the order of sending.
     *
     * @return lines of key=value pairs
     */
    public List<String> lines() {
        return records.stream().map(entry -> entry.toEvent().toLine()).toList();
    }
}
