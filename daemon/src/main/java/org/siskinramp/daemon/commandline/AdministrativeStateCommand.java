package org.siskinramp.daemon.commandline;

import org.kohsuke.args4j.Argument;
import org.siskinramp.configuration.AdministrativeState;

/** Takes an availability zone or a host out of service, or brings it back. */
final class AdministrativeStateCommand extends AdministrationCommand {

    private static final String EMPTY_BODY = "";

    @Argument(metaVar = "NAME", required = true, usage = "name of the availability zone or host")
    private String name;

    private final String resource;
    private final AdministrativeState state;

    /**
     * Creates the command.
     *
     * @param resource {@code availability-zone} or {@code host}; the plural is a segment of the
     *     request path
     * @param state the new state
     */
    AdministrativeStateCommand(String resource, AdministrativeState state) {
        this.resource = resource;
        this.state = state;
    }

    @Override
    ApiReply exchange(AdministrationClient client) {
        return client.command(EMPTY_BODY, resource + "s", name, state.label());
    }

    @Override
    String describe(String body) {
        return ReceiptLine.ofLocation(body);
    }
}
