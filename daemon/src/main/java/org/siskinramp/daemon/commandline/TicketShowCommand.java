package org.siskinramp.daemon.commandline;

import java.util.List;
import java.util.regex.Pattern;
import org.kohsuke.args4j.Argument;
import org.siskinramp.daemon.administration.AdministrationJson;
import org.siskinramp.daemon.administration.query.TicketDetail;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Shows a change ticket and the hosts on which it is in force. */
final class TicketShowCommand extends AdministrationCommand {

    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}");

    @Argument(metaVar = "N", required = true, usage = "number of the ticket")
    private String number;

    @Override
    ApiReply exchange(AdministrationClient client) {
        return client.query("tickets", checkedNumber());
    }

    @Override
    String describe(String body) {
        TicketDetail ticket = AdministrationJson.read(body, TicketDetail.class);
        return String.join(
                "\n",
                TicketLine.of(ticket.summary()),
                hosts("in force on", ticket.inForceHosts()),
                hosts("not yet in force on", ticket.pendingHosts()),
                hosts("not known of", ticket.silentHosts()),
                ticket.content());
    }

    private String checkedNumber() {
        if (!NUMBER.matcher(number).matches()) {
            throw new ResultException(ResultCode.USAGE, number + " is not a ticket number");
        }
        return number;
    }

    private static String hosts(String label, List<String> hosts) {
        return label + ": " + (hosts.isEmpty() ? "no host" : String.join(", ", hosts));
    }
}
