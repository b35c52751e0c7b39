package rowanplank;

import java.util.List;
import routerfleet.cli.FleetCommands;
import rowanplank.cli.Cli;
import rowanplank.cli.LimitedLoggers;

/** Where the program starts. */
public final class Main {
    /** Known here, so that a page node's start loads nothing of the fleet. */
    private static final List<String> FLEET_COMMANDS = List.of("data-plane", "control-plane", "system");

    private Main() { }

    public static void main(String[] args) throws Exception {
        if (args.length > 0 && FLEET_COMMANDS.contains(args[0])) {
            end(FleetCommands.run(args));
            return;
        }
        LimitedLoggers.use();
        end(Cli.run(args));
    }

    private static void end(int status) {
        if (status != 0) {
            System.exit(status);
        }
    }
}
