package org.siskinramp.standin;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;
import org.siskinramp.log.LogEvent;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.standin.command.BackendServerCommand;
import org.siskinramp.standin.command.BackendServersCommand;
import org.siskinramp.standin.command.CallersCommand;
import org.siskinramp.standin.command.FaultProxyCommand;
import org.siskinramp.standin.command.GatewayWorldCommand;
import org.siskinramp.standin.command.MeasureReportCommand;
import org.siskinramp.standin.command.MeasureRunCommand;
import org.siskinramp.standin.command.PlatformCommand;
import org.siskinramp.standin.command.RandomisedCommand;
import org.siskinramp.standin.command.RehearseCommand;
import org.siskinramp.standin.command.SlopesCommand;
import org.siskinramp.standin.command.StandInCommand;

/** Runs the sub-command that the first argument names. */
public final class Main {

    private static final int USAGE_STATUS = 2;
    private static final int FAILURE_STATUS = 1;
    private static final String HELP = "--help";

    private static final Map<String, Supplier<StandInCommand>> COMMANDS =
            new TreeMap<>(
                    Map.ofEntries(
                            Map.entry("platform", PlatformCommand::new),
                            Map.entry("backend-server", BackendServerCommand::new),
                            Map.entry("backend-servers", BackendServersCommand::new),
                            Map.entry("callers", CallersCommand::new),
                            Map.entry("measure-run", MeasureRunCommand::new),
                            Map.entry("measure-report", MeasureReportCommand::new),
                            Map.entry("fault-proxy", FaultProxyCommand::new),
                            Map.entry("gateway-world", GatewayWorldCommand::new),
                            Map.entry("randomised", RandomisedCommand::new),
                            Map.entry("rehearse", RehearseCommand::new),
                            Map.entry("slopes", SlopesCommand::new)));

    private final PrintStream output;
    private final PrintStream errors;

    Main(PrintStream output, PrintStream errors) {
        this.output = output;
        this.errors = errors;
    }

    /**
     * Runs a sub-command and exits with its status.
     *
     * @param arguments the sub-command and its options
     */
    public static void main(String[] arguments) {
        System.exit(new Main(System.out, System.err).run(arguments));
    }

    int run(String... arguments) {
        if (arguments.length == 0) {
            return fail(new ResultException(ResultCode.USAGE, "sub-command missing; try " + HELP));
        }
        if (arguments[0].equals(HELP)) {
            output.println("usage: stand-in SUB-COMMAND [OPTIONS]");
            COMMANDS.keySet().forEach(name -> output.println("  " + name));
            return 0;
        }
        Supplier<StandInCommand> command = COMMANDS.get(arguments[0]);
        if (command == null) {
            return fail(
                    new ResultException(ResultCode.USAGE, "unknown sub-command " + arguments[0]));
        }
        return run(command.get(), Arrays.copyOfRange(arguments, 1, arguments.length));
    }

    private int run(StandInCommand command, String... options) {
        CmdLineParser parser =
                new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(100));
        if (Arrays.asList(options).contains(HELP)) {
            parser.printUsage(output);
            return 0;
        }
        try {
            parser.parseArgument(options);
            return command.run(event -> output.println(event.toLine()));
        } catch (CmdLineException failure) {
            return fail(new ResultException(ResultCode.USAGE, failure.getMessage()));
        } catch (ResultException failure) {
            return fail(failure);
        }
    }

    private int fail(ResultException failure) {
        errors.println(
                LogEvent.named("failed")
                        .with("result_code", failure.code().number())
                        .with("reason", failure.getMessage())
                        .toLine());
        return failure.code() == ResultCode.USAGE ? USAGE_STATUS : FAILURE_STATUS;
    }
}
