package org.siskinramp.membership;

import org.siskinramp.log.Counter;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;

/** Counts and logs what must never happen. */
final class Violations {

    private final Counters counters;
    private final EventLog eventLog;

    Violations(Counters counters, EventLog eventLog) {
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
