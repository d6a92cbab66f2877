package org.siskinramp.daemon.commandline;

import org.siskinramp.daemon.administration.AdministrationJson;
import org.siskinramp.daemon.administration.command.PlaceReceipt;
import org.siskinramp.daemon.administration.command.TicketReceipt;
import org.siskinramp.log.LogEvent;
import org.siskinramp.result.ResultCode;

/** Formats the receipt of an accepted command as a readable line. */
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

    static String ofLocation(String json) {
        PlaceReceipt receipt = AdministrationJson.read(json, PlaceReceipt.class);
        return TextLine.of(
                LogEvent.named("accepted")
                        .with("code", ResultCode.ACCEPTED.number())
                        .with("name", receipt.name())
                        .with("state", receipt.state().label())
                        .with("configuration_version", receipt.configurationVersion())
                        .with("repeated", receipt.repeated()));
    }
}
