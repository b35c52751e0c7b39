package rowanplank.cli;

import picocli.CommandLine.Command;

@Command(name = "lab", description = "The laboratory: nodes, an emulated site and clients, in virtual time or on real sockets.",
        subcommands = {LabRunCommand.class, LabReplayCommand.class, LabHuntCommand.class, LabDrawCommand.class,
            LabSiteCommand.class, LabLoadCommand.class, LabFleetCommand.class, LabBudgetsCommand.class, LabRestCommand.class,
            LabRenewalsCommand.class, LabBesideCommand.class, LabWorkCommand.class, LabSharesCommand.class})
final class LabCommand { }
