package rowanplank.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import rowanplank.lab.trial.Beside;
import rowanplank.net.Ports;

@Command(name = "beside", description = {"Asks real nodes for pages while other nodes are killed and started, in pairs: with a",
    "fleet whose voters those are, and without. Service and latency of both."})
final class LabBesideCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;
    @Option(names = "--pairs", paramLabel = "N", defaultValue = "3", description = "Which comes first changes with each.")
    private int pairs;
    @Option(names = "--seconds", paramLabel = "T", defaultValue = "30", description = "How long each is counted.")
    private int seconds;
    @Option(names = "--rate", paramLabel = "N", defaultValue = "60", description = "Requests a second at each of two nodes.")
    private double rate;
    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "Of the first pair.")
    private long seed;
    @Option(names = "--calm", description = "Nothing is killed.")
    private boolean calm;

    @Override
    public Integer call() throws Exception {
        if (pairs < 1 || pairs > 100 || seconds < 3 || seconds > 600 || rate < 1 || rate > 500) {
            throw new ParameterException(spec.commandLine(), "--pairs 1 to 100, --seconds 3 to 600, --rate 1 to 500");
        }
        for (int p = 0; p < pairs; p++) {
            for (int half = 0; half < 2; half++) {
                boolean with = (p + half) % 2 == 0;
                Beside.Seen seen = play(with, seed + p);
                System.out.println("pair " + (p + 1) + (with ? ", with a fleet:    " : ", without a fleet: ") + seen.text()
                        + (with ? ", another leader " + seen.leaders() + " times" : ""));
            }
        }
        return Status.DONE;
    }

    private Beside.Seen play(boolean with, long of) throws Exception {
        Path folder = Files.createTempDirectory("rowanplank-beside-");
        try (Ports ports = Ports.apart()) {
            return Beside.play(with, !calm, Duration.ofSeconds(seconds), rate, of, NodeCommand.ofFile(), folder, ports);
        } catch (IOException e) {
            throw new IOException(e.getMessage() + " (" + folder + ")", e);
        }
    }
}
