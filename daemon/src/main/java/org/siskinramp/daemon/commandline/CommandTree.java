package org.siskinramp.daemon.commandline;

import java.util.List;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.daemon.commandline.CommandNode.Group;
import org.siskinramp.daemon.commandline.CommandNode.Leaf;

/** Lists all commands. */
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
                                "work on settings files",
                                List.of(
                                        new Leaf(
                                                "check",
                                                "check a settings file",
                                                SettingsCheckCommand::new))),
                        ticket(),
                        placeGroup("availability-zone", "an availability zone"),
                        placeGroup("host", "a host"),
                        new Group(
                                "request",
                                "ask about requests",
                                List.of(
                                        new Leaf(
                                                "show",
                                                "tell what became of a request",
                                                RequestShowCommand::new),
                                        new Leaf(
                                                "trace",
                                                "tell by logs of gateways what became of a request",
                                                RequestTraceCommand::new))),
                        new Leaf("status", "describe an entry host", StatusCommand::new)));
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

    private static Group placeGroup(String word, String words) {
        return new Group(
                word,
                "take " + words + " out of service or bring it back",
                List.of(
                        new Leaf(
                                "out",
                                "take " + words + " out of service",
                                () -> new PlaceCommand(word, AdministrativeState.OUT)),
                        new Leaf(
                                "in",
                                "bring " + words + " back into service",
                                () -> new PlaceCommand(word, AdministrativeState.IN))));
    }
}
