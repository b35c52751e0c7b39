package rowanplank.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import rowanplank.lab.trial.RealFleet;
import rowanplank.lab.trial.Renewals;
import rowanplank.net.Ports;

@Command(name = "renewals", description = {"Measures how many renewals a second a real leader confirms, beside two or more real",
    "voters on this machine: so many sessions ask, each again as soon as it was answered."})
final class LabRenewalsCommand implements Callable<Integer> {
    private static final int MOST_SESSIONS = 1900;

    @Spec
    private CommandSpec spec;
    @Option(names = "--nodes", paramLabel = "N", defaultValue = "3", description = "3 or 5, all of them voters.")
    private int nodes;
    @Option(names = "--sessions", paramLabel = "N", split = ",", defaultValue = "10,100,1000",
            description = "One measurement for each, with nodes of its own.")
    private List<Integer> sessions;
    @Option(names = "--seconds", paramLabel = "T", defaultValue = "10", description = "How long is counted.")
    private int seconds;

    @Override
    public Integer call() throws Exception {
        if (nodes != 3 && nodes != 5 || seconds < 1 || seconds > 600
                || sessions.stream().anyMatch(s -> s < 1 || s > MOST_SESSIONS)) {
            throw new ParameterException(spec.commandLine(),
                    "--nodes 3 or 5, --sessions 1 to " + MOST_SESSIONS + ", --seconds 1 to 600");
        }
        for (int count : sessions) {
            Path folder = Files.createTempDirectory("rowanplank-renewals-");
            RealFleet.Plan plan = RealFleet.Plan.idle(nodes, true, Duration.ofSeconds(4), NodeCommand.ofFile());
            try (Ports ports = Ports.apart(); RealFleet fleet = new RealFleet(plan, folder, ports)) {
                Thread end = new Thread(fleet::close, "end");
                Runtime.getRuntime().addShutdownHook(end);
                for (int n = 0; n < nodes; n++) {
                    fleet.startAndWait(n);
                }
                fleet.awaitThat("nobody leads", () -> fleet.leader() >= 0);
                System.out.println(nodes + " voters, "
                        + Renewals.measure(fleet, count, Duration.ofSeconds(seconds), ports));
                Runtime.getRuntime().removeShutdownHook(end);
            }
        }
        return Status.DONE;
    }
}
