package org.siskinramp.daemon.commandline;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** A command, or a group of sub-commands. */
sealed interface CommandNode {

    /** Returns the name on the command line. */
    String name();

    /** Returns the description that the help prints. */
    String description();

    /**
     * A group of sub-commands.
     *
     * @param name the name on the command line
     * @param description the description that the help prints
     * @param children the sub-commands
     */
    record Group(String name, String description, List<CommandNode> children)
            implements CommandNode {

        Optional<CommandNode> child(String childName) {
            return children.stream().filter(child -> child.name().equals(childName)).findFirst();
        }
    }

    /**
     * A command without sub-commands.
     *
     * @param name the name on the command line
     * @param description the description that the help prints
     * @param command creates the command, whose options have not been set
     */
    record Leaf(String name, String description, Supplier<Command> command)
            implements CommandNode {}
}
