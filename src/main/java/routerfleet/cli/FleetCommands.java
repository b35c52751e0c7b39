package routerfleet.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import routerfleet.demo.Rehearsal;
import routerfleet.log.LibraryLoggers;
import routerfleet.process.NodeProcess;
import routerfleet.settings.LocalSettings;
import routerfleet.settings.SettingsException;

/** The commands of the router fleet: its two programs, and the check of a settings file. */
public final class FleetCommands {
    private static final String DATA_PLANE = "data-plane";
    private static final String CONTROL_PLANE = "control-plane";
    private static final String SYSTEM = "system";
    private static final int DONE = 0;
    private static final int FAILED = 1;
    private static final int USAGE = 2;

    /** Options that every command has. */
    private static class Common {
        @Parameter(names = {"-h", "--help"}, help = true, description = "Show this help and end")
        private boolean help;
    }

    @Parameters(commandDescription = "A node that takes requests and forwards them; settings from $ROWANPLANK_BOOT")
    private static final class DataPlaneCommand extends Common { }

    @Parameters(commandDescription = "A node that keeps configuration and sessions; settings from $ROWANPLANK_BOOT")
    private static final class ControlPlaneCommand extends Common { }

    @Parameters(commandDescription = "check FILE: whether a settings file can be used; "
            + "rehearse: a small fleet on loopback; config: the configuration of a running fleet; "
            + "evacuation: the zones to which a running fleet sends nothing; "
            + "account FILE: where a day played on the operators' bench lost worth")
    private static final class SystemCommand extends Common {
        @Parameter(description = "check FILE | rehearse | account FILE | config " + ConfigCommands.USAGE + " | evacuation "
                + EvacuationCommands.USAGE)
        private List<String> words = new ArrayList<>();

        @Parameter(names = "--at", description = "Addresses of control nodes, for config and evacuation")
        private List<String> at = new ArrayList<>();

        @Parameter(names = "--base", description = "Version that an order builds on, for config; else the current one")
        private Long base;
    }

    private FleetCommands() { }

    /** Runs a command line. @return the exit status; where it is 0, a started node runs on */
    public static int run(String[] args) {
        LibraryLoggers.use();
        if (args.length == 1 && (args[0].equals(DATA_PLANE) || args[0].equals(CONTROL_PLANE))) {
            return start(args[0]); // nothing to parse, and each node of a fleet starts so
        }
        SystemCommand system = new SystemCommand();
        Common[] commands = {new DataPlaneCommand(), new ControlPlaneCommand(), system};
        JCommander parser = JCommander.newBuilder().programName("rowanplank").addCommand(DATA_PLANE, commands[0])
                .addCommand(CONTROL_PLANE, commands[1]).addCommand(SYSTEM, system).build();
        try {
            parser.parse(args);
        } catch (ParameterException e) {
            return fail(USAGE, e.getMessage());
        }
        for (Common command : commands) {
            if (command.help) {
                parser.getUsageFormatter().usage(parser.getParsedCommand());
                return DONE;
            }
        }
        return system(system);
    }

    private static int start(String role) {
        try {
            if (role.equals(DATA_PLANE)) {
                NodeProcess.startDataNode(settingsFile());
            } else {
                NodeProcess.startControlNode(settingsFile());
            }
            return DONE;
        } catch (SettingsException e) {
            return fail(USAGE, e.getMessage());
        } catch (Exception e) {
            return fail(FAILED, String.valueOf(e.getMessage()));
        }
    }

    private static int fail(int status, String line) {
        System.err.println(line);
        return status;
    }

    private static int system(SystemCommand command) {
        try {
            return systemCommand(command);
        } catch (SettingsException | ConfigCommands.UnusableException | DayAccount.UnusableReportException e) {
            return fail(USAGE, e.getMessage());
        } catch (Exception e) {
            return fail(FAILED, String.valueOf(e.getMessage()));
        }
    }

    private static int systemCommand(SystemCommand command) throws Exception {
        List<String> words = command.words;
        if (!words.isEmpty() && words.get(0).equals("config")) {
            System.out.println(ConfigCommands.run(words.subList(1, words.size()), command.at, command.base));
            return DONE;
        }
        if (!words.isEmpty() && words.get(0).equals("evacuation")) {
            System.out.println(EvacuationCommands.run(words.subList(1, words.size()), command.at));
            return DONE;
        }
        if (words.equals(List.of("rehearse"))) {
            System.out.println(Rehearsal.run() + " requests served");
            return DONE;
        }
        if (words.size() == 2 && words.get(0).equals("account")) {
            System.out.print(DayAccount.of(Path.of(words.get(1))));
            return DONE;
        }
        if (words.size() != 2 || !words.get(0).equals("check")) {
            return fail(USAGE,
                    "usage: rowanplank system check FILE | rehearse | account FILE | config ... | evacuation ...");
        }
        LocalSettings.load(words.get(1));
        System.out.println(words.get(1) + " can be used");
        return DONE;
    }

    private static String settingsFile() throws SettingsException {
        String file = System.getenv(LocalSettings.VARIABLE);
        if (file == null) {
            throw SettingsException.missing("$" + LocalSettings.VARIABLE, "names no settings file");
        }
        return file;
    }
}
