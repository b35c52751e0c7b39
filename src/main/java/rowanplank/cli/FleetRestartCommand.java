package rowanplank.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

@Command(name = "restart", description = {"A rolling restart of all machines, as for a new version: the same as fleet work restart.",
    "Whatever runs the nodes has to start them again."})
final class FleetRestartCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;
    @Mixin
    private FleetWorkCommand.Call call;
    @Mixin
    private FleetWorkCommand.Times times;
    @Option(names = "--why", paramLabel = "TEXT", defaultValue = "restart of all", description = "What is to be done.")
    private String why;

    @Override
    public Integer call() throws IOException {
        return FleetWorkCommand.restart(call, times, why, spec);
    }
}
