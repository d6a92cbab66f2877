package org.siskinramp.daemon.commandline;

import org.siskinramp.daemon.administration.AdministrationJson;
import org.siskinramp.daemon.administration.command.PlaceReceipt;
import org.siskinramp.daemon.administration.command.TicketReceipt;
import org.siskinramp.log.LogEvent;
import org.siskinramp.result.ResultCode;

/** Writes the receipt of a command for people. */
final class ReceiptLine {

    private ReceiptLine() {}

    static String ofTicket(String json) {
        TicketReceipt receipt = AdministrationJson.read(json, TicketReceipt.class);
        return TextLine.of(
                LogEvent.named("accepted")
                        .with("code", ResultCode.ACCEPTED.number())
                        .with("ticket", receipt.number())
                        .with("configuration_version", receipt.configurationVersion())
                        .with("repeated", receipt.repeated()));
    }

    static String ofPlace(String json) {
        PlaceReceipt receipt = AdministrationJson.read(json, PlaceReceipt.class);
        return TextLine.of(
                LogEvent.named("accepted")
                        .with("code", ResultCode.ACCEPTED.number())
                        .with("name", receipt.name())
                        .with("state", receipt.state().word())
                        .with("configuration_version", receipt.configurationVersion())
                        .with("repeated", receipt.repeated()));
    }
}
