package rowanplank.cli;

import com.eclipsesource.json.WriterConfig;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import rowanplank.lab.trial.Plants;
import rowanplank.lab.trial.Trial;
import rowanplank.lab.trial.TrialPlan;
import rowanplank.lab.trial.TrialResult;

@Command(name = "trial", description = {"Starts real nodes, breaks what is between them and under them, as drawn from a",
    "seed, and judges the history of what was done. Status 3: a rule was broken; 1: it could not be played."})
final class FleetTrialCommand implements Callable<Integer> {
    private static final int MOST_NODES = 30;
    private static final int MOST_SECONDS = 3600;

    @Spec
    private CommandSpec spec;
    @Mixin
    private TrialOptions trial;
    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "What breaks, and when, is drawn from it.")
    private long seed;
    @Option(names = "--seconds", paramLabel = "T", defaultValue = "20",
            description = "From the first act on; at the end nothing breaks for 4 s, 7 s of places, or a quarter of it.")
    private int seconds;
    @Option(names = "--out", paramLabel = "DIR", description = "Where all that it writes goes.")
    private Path out;
    @Option(names = "--json", description = "Prints the result as JSON.")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        if ("list".equals(trial.plant)) {
            Plants.all().forEach((name, what) -> System.out.printf("%-24s %s%n", name, what));
            return Status.DONE;
        }
        trial.check(spec, MOST_NODES);
        TrialOptions.within(spec, "--seconds", seconds, (int) trial.kind.quiet().plusSeconds(2).toSeconds(), MOST_SECONDS);
        Path folder = out == null ? Files.createTempDirectory("rowanplank-trial-") : Files.createDirectories(out);
        Duration length = Duration.ofSeconds(seconds);
        Duration quarter = length.dividedBy(4);
        boolean planted = trial.plant != null;
        Trial real = new Trial(new TrialPlan(trial.kind, trial.nodes, seed, length,
                quarter.compareTo(trial.kind.quiet()) < 0 ? trial.kind.quiet() : quarter, trial.lease(), trial.faults, trial.gap(),
                planted ? List.of() : NodeCommand.ofFile(),
                planted ? NodeCommand.planted(trial.plant) : NodeCommand.standIn(), folder.toString()));
        Thread end = new Thread(real::end, "end");
        Runtime.getRuntime().addShutdownHook(end);
        TrialResult result = real.play();
        Runtime.getRuntime().removeShutdownHook(end);
        System.out.print(json ? result.json().toString(WriterConfig.PRETTY_PRINT) + "\n"
                : result.text() + "history, files and logs: " + folder + "\n");
        return result.findings().isEmpty() ? Status.DONE : Status.RULE_BROKEN;
    }
}
