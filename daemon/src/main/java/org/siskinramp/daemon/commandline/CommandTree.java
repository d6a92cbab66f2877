package org.siskinramp.daemon.commandline;

import java.util.List;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.daemon.commandline.CommandNode.Group;
import org.siskinramp.daemon.commandline.CommandNode.Leaf;

/** Defines all commands. */
final class CommandTree {

    private CommandTree() {}

    static Group root(EntryHostRunner runner) {
        return new Group(
                "siskinramp",
                "load balancer for backend servers whose load shifts in milliseconds",
                List.of(
                        new Leaf(
                                "entry-host",
                                "run an entry host",
                                () -> new EntryHostCommand(runner)),
                        new Group(
                                "settings",
                                "check settings files",
                                List.of(
                                        new Leaf(
                                                "check",
                                                "check a settings file",
                                                SettingsCheckCommand::new))),
                        ticket(),
                        locationGroup("availability-zone", "an availability zone"),
                        locationGroup("host", "a host"),
                        new Group(
                                "request",
                                "show the outcome of requests",
                                List.of(
                                        new Leaf(
                                                "show",
                                                "find the outcome of a request in the journals",
                                                RequestShowCommand::new),
                                        new Leaf(
                                                "trace",
                                                "find the outcome of a request in gateway logs",
                                                RequestTraceCommand::new))),
                        new Leaf("status", "show the state of an entry host", StatusCommand::new)));
    }

    private static Group ticket() {
        return new Group(
                "ticket",
                "file and show change tickets",
                List.of(
                        new Leaf("file", "file a change ticket", TicketFileCommand::new),
                        new Leaf(
                                "show",
                                "show a change ticket and where it is in force",
                                TicketShowCommand::new),
                        new Leaf("list", "list the accepted tickets", TicketListCommand::new)));
    }

    private static Group locationGroup(String resource, String nounPhrase) {
        return new Group(
                resource,
                "take " + nounPhrase + " out of service or bring it back",
                List.of(
                        new Leaf(
                                "out",
                                "take " + nounPhrase + " out of service",
                                () ->
                                        new AdministrativeStateCommand(
                                                resource, AdministrativeState.OUT)),
                        new Leaf(
                                "in",
                                "bring " + nounPhrase + " back into service",
                                () ->
                                        new AdministrativeStateCommand(
                                                resource, AdministrativeState.IN))));
    }
}
