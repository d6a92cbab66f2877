package org.siskinramp.ledger;

import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.platform.Platform;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;

/** Holds the dependencies that the classes of the claim ledger share. */
record LedgerEnvironment(
        Platform platform,
        Clock clock,
        Scheduler scheduler,
        EventLog eventLog,
        Counters counters,
        LedgerOptions options,
        CircuitBreaker circuitBreaker,
        TransactionRateLimiter transactionRateLimiter) {}
