package rowanplank.cli;

import picocli.CommandLine.Command;

@Command(name = "fleet", synopsisSubcommandLabel = "COMMAND",
        description = "Nodes that agree: leases and budgets of the whole fleet, and what they are tried with.",
        subcommands = {FleetInitCommand.class, FleetStatusCommand.class, FleetLeaseCommand.class,
            FleetVotersCommand.class, FleetBudgetCommand.class, FleetWorkCommand.class, FleetRestartCommand.class, FleetTrialCommand.class})
final class FleetCommand { }
