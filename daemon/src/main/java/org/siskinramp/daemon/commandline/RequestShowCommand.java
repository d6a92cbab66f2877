package org.siskinramp.daemon.commandline;

import java.time.Instant;
import org.kohsuke.args4j.Argument;
import org.siskinramp.daemon.administration.AdministrationJson;
import org.siskinramp.daemon.administration.query.RequestEvent;
import org.siskinramp.daemon.administration.query.RequestHistory;

/** Shows the outcome of a request, as the hosts' journals record it. */
final class RequestShowCommand extends AdministrationCommand {

    @Argument(index = 0, metaVar = "CALLER", required = true, usage = "name of the caller")
    private String caller;

    @Argument(
            index = 1,
            metaVar = "REQUEST_ID",
            required = true,
            usage = "the request's identifier")
    private String requestId;

    @Override
    ApiReply exchange(AdministrationClient client) {
        return client.query("requests", caller, requestId);
    }

    @Override
    String describe(String body) {
        RequestHistory history = AdministrationJson.read(body, RequestHistory.class);
        StringBuilder text = new StringBuilder();
        text.append("request ")
                .append(history.requestId())
                .append(" of ")
                .append(history.caller())
                .append(' ')
                .append(history.verdict().description())
                .append(": ")
                .append(history.reason())
                .append("\nattempts known: ")
                .append(history.attempts());
        history.events().forEach(event -> text.append('\n').append(line(event)));
        history.gaps().forEach(gap -> text.append("\nrecords missing: ").append(gap));
        return text.toString();
    }

    private static String line(RequestEvent event) {
        return Instant.ofEpochMilli(event.calendarMilliseconds())
                + " host="
                + event.host()
                + " "
                + event.description();
    }
}
