package org.siskinramp.daemon.commandline;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;
import org.siskinramp.daemon.commandline.CommandNode.Group;
import org.siskinramp.daemon.commandline.CommandNode.Leaf;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/**
 * Parses the command line and runs its command.
 *
 * <pre>{@code
 * ExitStatus status = new CommandLine(runner, System.out, System.err).run("ticket", "list");
 * }</pre>
 */
public final class CommandLine {

    private static final String HELP = "--help";
    private static final int USAGE_WIDTH_CHARACTERS = 100;

    private final EntryHostRunner runner;
    private final Console console;

    /**
     * Creates a command line.
     *
     * @param runner runs an entry host
     * @param output the stream for results
     * @param errors the stream for refusals and failures
     */
    public CommandLine(EntryHostRunner runner, PrintStream output, PrintStream errors) {
        this.runner = runner;
        this.console = new Console(output, errors);
    }

    /**
     * Runs one command.
     *
     * @param arguments the command and its options
     * @return the exit status
     */
    public ExitStatus run(String... arguments) {
        return run(CommandTree.root(runner), "", Arrays.asList(arguments));
    }

    private ExitStatus run(Group group, String path, List<String> arguments) {
        String groupPath = path + group.name();
        if (arguments.isEmpty()) {
            return usage(groupPath, "command missing");
        }
        String name = arguments.get(0);
        if (name.equals(HELP)) {
            printHelp(group, groupPath);
            return ExitStatus.SUCCESS;
        }
        Optional<CommandNode> child = group.child(name);
        if (child.isEmpty()) {
            return usage(groupPath, "unknown command " + name);
        }
        List<String> rest = arguments.subList(1, arguments.size());
        return child.get() instanceof Group next
                ? run(next, groupPath + " ", rest)
                : run((Leaf) child.get(), groupPath + " ", rest);
    }

    private ExitStatus run(Leaf leaf, String path, List<String> arguments) {
        String commandPath = path + leaf.name();
        Command command = leaf.command().get();
        CmdLineParser parser =
                new CmdLineParser(
                        command,
                        ParserProperties.defaults()
                                .withShowDefaults(false)
                                .withUsageWidth(USAGE_WIDTH_CHARACTERS));
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException failure) {
            return usage(commandPath, failure.getMessage());
        }
        if (command.isHelpRequested()) {
            printHelp(leaf, commandPath, parser);
            return ExitStatus.SUCCESS;
        }
        return run(command);
    }

    private ExitStatus run(Command command) {
        try {
            return command.run(console);
        } catch (ResultException failure) {
            console.errors().println(TextLine.ofFailure(failure));
            return failure.code() == ResultCode.USAGE ? ExitStatus.USAGE : ExitStatus.FAILURE;
        }
    }

    private ExitStatus usage(String path, String problem) {
        console.errors()
                .println(TextLine.ofFailure(new ResultException(ResultCode.USAGE, problem)));
        console.errors().println("see: " + path + " " + HELP);
        return ExitStatus.USAGE;
    }

    private void printHelp(Group group, String path) {
        PrintStream output = console.output();
        output.println(path + ": " + group.description());
        output.println("commands:");
        group.children()
                .forEach(child -> output.printf("  %-18s %s%n", child.name(), child.description()));
        output.println("every command accepts " + HELP);
    }

    private void printHelp(Leaf leaf, String path, CmdLineParser parser) {
        PrintStream output = console.output();
        output.println(path + ": " + leaf.description());
        output.print("usage: " + path);
        parser.printSingleLineUsage(output);
        output.println();
        parser.printUsage(output);
    }
}
