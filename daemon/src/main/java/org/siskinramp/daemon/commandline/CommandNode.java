package org.siskinramp.daemon.commandline;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** Is a word of the command line: a command, or a group of further words. */
sealed interface CommandNode {

    /** Returns the word. */
    String word();

    /** Returns one sentence for the help. */
    String description();

    /**
     * Holds further words.
     *
     * @param word the word
     * @param description one sentence
     * @param children the words that may follow
     */
    record Group(String word, String description, List<CommandNode> children)
            implements CommandNode {

        Optional<CommandNode> child(String childWord) {
            return children.stream().filter(child -> child.word().equals(childWord)).findFirst();
        }
    }

    /**
     * Holds a command.
     *
     * @param word the word
     * @param description one sentence
     * @param command makes the command, ready to be filled with options
     */
    record Leaf(String word, String description, Supplier<Command> command)
            implements CommandNode {}
}
