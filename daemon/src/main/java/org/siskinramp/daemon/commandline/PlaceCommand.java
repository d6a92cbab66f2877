package org.siskinramp.daemon.commandline;

import org.kohsuke.args4j.Argument;
import org.siskinramp.configuration.AdministrativeState;

/** Takes an availability zone or a host out of service, or brings it back. */
final class PlaceCommand extends AdministrationCommand {

    private static final String EMPTY_BODY = "";

    @Argument(metaVar = "NAME", required = true, usage = "its name")
    private String name;

    private final String word;
    private final AdministrativeState state;

    /**
     * Creates the command.
     *
     * @param word {@code availability-zone} or {@code host}
     * @param state the new state
     */
    PlaceCommand(String word, AdministrativeState state) {
        this.word = word;
        this.state = state;
    }

    @Override
    ApiReply exchange(AdministrationClient client) {
        return client.command(EMPTY_BODY, word + "s", name, state.word());
    }

    @Override
    String describe(String body) {
        return ReceiptLine.ofPlace(body);
    }
}
