package org.siskinramp.relay;

import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;

/**
 * Logs one event when the age of a table exceeds the staleness limit, and one when the table is
 * fresh again. Not thread-safe; guarded by the lock of its owner.
 */
final class StalenessLog {

    private final String table;
    private final long limitMilliseconds;
    private final EventLog eventLog;
    private long greatestAgeMilliseconds;

    StalenessLog(String table, long limitMilliseconds, EventLog eventLog) {
        this.table = table;
        this.limitMilliseconds = limitMilliseconds;
        this.eventLog = eventLog;
    }

    /**
     * Records the age of the last read.
     *
     * @param ageMilliseconds the age of the last read of the table, by this host or by its source
     * @param source the host whose updates this host receives, or {@code none}
     */
    void recordAge(long ageMilliseconds, String source) {
        boolean wasStale = greatestAgeMilliseconds > 0;
        if (ageMilliseconds > limitMilliseconds) {
            greatestAgeMilliseconds = Math.max(greatestAgeMilliseconds, ageMilliseconds);
            if (!wasStale) {
                eventLog.record(
                        LogEvent.named("table_stale")
                                .with("table", table)
                                .with("age_ms", ageMilliseconds)
                                .with("limit_ms", limitMilliseconds)
                                .with("source", source));
            }
        } else if (wasStale) {
            eventLog.record(
                    LogEvent.named("table_fresh")
                            .with("table", table)
                            .with("oldest_ms", greatestAgeMilliseconds)
                            .with("source", source));
            greatestAgeMilliseconds = 0;
        }
    }
}
