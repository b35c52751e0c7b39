package rowanplank.cli;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.ScopeType;

/** The program, and the place where a new command is entered: one class for each, here and nowhere else. */
@Command(name = "rowanplank", versionProvider = RootCommand.Version.class,
        mixinStandardHelpOptions = true, scope = ScopeType.INHERIT,
        description = {"A proxy node for page requests, and what it is tried with.",
            "Of the router fleet: data-plane, control-plane, system (rowanplank system --help)."},
        synopsisSubcommandLabel = "COMMAND", commandListHeading = "%nCommands:%n",
        exitCodeListHeading = "%nExit status:%n",
        exitCodeList = {"0:done", "1:ran and failed", "2:the command line, or a file that it names, can't be used",
            "3:a rule was broken (laboratory)", "130:interrupted"},
        subcommands = {DemoCommand.class, ServeCommand.class, CheckCommand.class, FleetCommand.class,
            LabCommand.class, SimhostCommand.class})
final class RootCommand {
    /** The version that the build wrote down. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() throws IOException {
            Properties properties = new Properties();
            try (InputStream in = RootCommand.class.getResourceAsStream("version.properties")) {
                properties.load(in);
            }
            return new String[] {"rowanplank " + properties.getProperty("version")};
        }
    }
}
