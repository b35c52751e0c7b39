package rowanplank.cli;

import java.io.IOException;
import picocli.CommandLine.MissingParameterException;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ParseResult;
import picocli.CommandLine.UnmatchedArgumentException;
import picocli.CommandLine;
import rowanplank.config.ConfigException;

/** Runs command lines by picocli, and turns what goes wrong into one line and an exit status. */
final class CommandLines {
    private CommandLines() { }

    static CommandLine commands() {
        return new CommandLine(new RootCommand()).setCaseInsensitiveEnumValuesAllowed(true)
                .setParameterExceptionHandler((e, args) -> misused(e))
                .setExecutionExceptionHandler(CommandLines::failed);
    }

    static int run(String... args) {
        return commands().execute(args);
    }

    private static int misused(ParameterException e) {
        CommandLine command = e.getCommandLine();
        return Status.failed(Status.USAGE,
                what(e, command) + "; see " + command.getCommandSpec().qualifiedName() + " --help");
    }

    private static String what(ParameterException e, CommandLine command) {
        boolean choosesCommand = !command.getSubcommands().isEmpty();
        if (e instanceof UnmatchedArgumentException u) {
            String first = u.getUnmatched().get(0);
            return (first.startsWith("-") ? "unknown option: " : choosesCommand ? "unknown command: "
                    : "unexpected argument: ") + first;
        }
        return choosesCommand && !(e instanceof MissingParameterException) ? "no command given" : e.getMessage();
    }

    /** What is not foreseen is a fault of the program, and picocli prints it whole. */
    private static int failed(Exception e, CommandLine command, ParseResult parsed) throws Exception {
        if (e instanceof ConfigException faults) {
            faults.faults().forEach(f -> Status.failed(Status.USAGE, f));
            return Status.USAGE;
        }
        if (e instanceof IOException) {
            return Status.failed(Status.FAILED, e.getMessage());
        }
        throw e;
    }
}
