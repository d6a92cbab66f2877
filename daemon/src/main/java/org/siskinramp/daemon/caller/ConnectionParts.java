package org.siskinramp.daemon.caller;

import org.siskinramp.time.Clock;

/** Holds what the connections of all callers share. */
record ConnectionParts(
        BodyMemoryBudget memoryBudget,
        HeadParser parser,
        EarlyStarter starter,
        LingeringConnections lingeringConnections,
        Clock clock) {

    LookAhead newLookAhead(LookAhead.Input input) {
        return new LookAhead(input, parser, starter, memoryBudget, clock);
    }
}
