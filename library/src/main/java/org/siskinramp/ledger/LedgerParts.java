package org.siskinramp.ledger;

import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.platform.Platform;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/** Holds what the parts of the claim ledger share. */
record LedgerParts(
        Platform platform,
        Clock clock,
        Scheduler scheduler,
        EventLog eventLog,
        Counters counters,
        LedgerOptions options,
        Circuit circuit,
        WriteBudget budget) {}
