package org.siskinramp.daemon.commandline;

import java.util.List;
import java.util.stream.Collectors;
import org.siskinramp.daemon.administration.AdministrationJson;
import org.siskinramp.daemon.administration.query.TicketSummary;

/** Lists the accepted change tickets. */
final class TicketListCommand extends AdministrationCommand {

    @Override
    ApiReply exchange(AdministrationClient client) {
        return client.query("tickets");
    }

    @Override
    String describe(String body) {
        List<TicketSummary> tickets = List.of(AdministrationJson.read(body, TicketSummary[].class));
        return tickets.isEmpty()
                ? "no tickets"
                : tickets.stream().map(TicketLine::of).collect(Collectors.joining("\n"));
    }
}
