package org.siskinramp.daemon.commandline;

import java.time.Instant;
import org.siskinramp.daemon.administration.query.TicketSummary;
import org.siskinramp.log.LogEvent;

/** Writes a change ticket in short for people. */
final class TicketLine {

    private TicketLine() {}

    static String of(TicketSummary ticket) {
        return TextLine.of(
                LogEvent.named("ticket")
                        .with("number", ticket.number())
                        .with("configuration_version", ticket.configurationVersion())
                        .with("filed", Instant.ofEpochMilli(ticket.filedCalendarMilliseconds())));
    }
}
