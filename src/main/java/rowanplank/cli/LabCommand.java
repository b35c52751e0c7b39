package rowanplank.cli;

import picocli.CommandLine.Command;

@Command(name = "lab", description = "The laboratory: whole nodes and an emulated site in virtual time, from one seed.",
        subcommands = {LabRunCommand.class, LabReplayCommand.class, LabHuntCommand.class, LabDrawCommand.class})
final class LabCommand { }
