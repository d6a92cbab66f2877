package org.siskinramp.daemon.commandline;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Files a change ticket. */
final class TicketFileCommand extends AdministrationCommand {

    @Argument(metaVar = "FILE", required = true, usage = "file with the ticket in JSON")
    private Path ticket;

    @Override
    ApiReply exchange(AdministrationClient client) {
        return client.command(readTicket(), "tickets");
    }

    @Override
    String describe(String body) {
        return ReceiptLine.ofTicket(body);
    }

    private String readTicket() {
        try {
            return Files.readString(ticket);
        } catch (IOException failure) {
            throw new ResultException(
                    ResultCode.FILE_UNREADABLE, "cannot read ticket file " + ticket, failure);
        }
    }
}
