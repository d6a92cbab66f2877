package org.siskinramp.membership;

import org.siskinramp.log.Counter;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;

/** Counts and logs violations of invariants. */
final class ViolationReporter {

    private final Counters counters;
    private final EventLog eventLog;

    ViolationReporter(Counters counters, EventLog eventLog) {
        this.counters = counters;
        this.eventLog = eventLog;
    }

    void report(String invariant, String host) {
        counters.add(Counter.INVARIANT_VIOLATIONS);
        eventLog.record(
                LogEvent.named("invariant_violated")
                        .with("invariant", invariant)
                        .with("host", host));
    }
}
