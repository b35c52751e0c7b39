package rowanplank.cli;

import com.eclipsesource.json.WriterConfig;
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
import rowanplank.lab.trial.Plants;
import rowanplank.lab.trial.Trial;
import rowanplank.lab.trial.TrialKind;
import rowanplank.lab.trial.TrialPlan;
import rowanplank.lab.trial.TrialResult;
import rowanplank.lab.trial.Trouble;

@Command(name = "trial", description = {"Starts real nodes, breaks what is between them and under them, as drawn from a",
    "seed, and judges the history of what was done. Status 3: a rule was broken; 1: it could not be played."})
final class FleetTrialCommand implements Callable<Integer> {
    private static final int MOST_NODES = 30;
    private static final int LEAST_SECONDS = 6;
    private static final int MOST_SECONDS = 3600;
    private static final Duration LEAST_QUIET = Duration.ofSeconds(4);

    @Spec
    private CommandSpec spec;
    @Option(names = "--kind", paramLabel = "KIND", defaultValue = "leases", description = "What is tried: ${COMPLETION-CANDIDATES}.")
    private TrialKind kind;
    @Option(names = "--nodes", paramLabel = "N", defaultValue = "3", description = "How many; the first 3 or 5 vote.")
    private int nodes;
    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "What breaks, and when, is drawn from it.")
    private long seed;
    @Option(names = "--seconds", paramLabel = "T", defaultValue = "20",
            description = "From the first act on; at the end nothing breaks for 4 s, or a quarter of it.")
    private int seconds;
    @Option(names = "--lease", paramLabel = "MS", defaultValue = "1000", description = "The lease's length, in ms.")
    private int lease;
    @Option(names = "--plant", paramLabel = "NAME", description = "Starts nodes that have this fault; \"list\" tells which.")
    private String plant;
    @Option(names = "--faults", paramLabel = "KIND", split = ",", description = "What may break; usually all: ${COMPLETION-CANDIDATES}.")
    private List<Trouble.Kind> faults = List.of();
    @Option(names = "--gap", paramLabel = "MS", defaultValue = "700", description = "How far apart faults are on average.")
    private int gap;
    @Option(names = "--out", paramLabel = "DIR", description = "Where all that it writes goes.")
    private Path out;
    @Option(names = "--json", description = "Prints the result as JSON.")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        if ("list".equals(plant)) {
            Plants.all().forEach((name, what) -> System.out.printf("%-24s %s%n", name, what));
            return Status.DONE;
        }
        check();
        Path folder = out == null ? Files.createTempDirectory("rowanplank-trial-") : Files.createDirectories(out);
        Duration length = Duration.ofSeconds(seconds);
        Duration quarter = length.dividedBy(4);
        Trial trial = new Trial(new TrialPlan(kind, nodes, seed, length,
                quarter.compareTo(LEAST_QUIET) < 0 ? LEAST_QUIET : quarter, Duration.ofMillis(lease), faults, Duration.ofMillis(gap), plant == null ? NodeCommand.ofFile() : List.of(),
                plant == null ? NodeCommand.standIn() : NodeCommand.planted(plant), folder.toString()));
        Thread end = new Thread(trial::end, "end");
        Runtime.getRuntime().addShutdownHook(end);
        TrialResult result = trial.play();
        Runtime.getRuntime().removeShutdownHook(end);
        System.out.print(json ? result.json().toString(WriterConfig.PRETTY_PRINT) + "\n" : result.text());
        System.out.println(json ? "" : "history, files and logs: " + folder);
        return result.findings().isEmpty() ? Status.DONE : Status.RULE_BROKEN;
    }

    private void check() {
        if (nodes < 1 || nodes > MOST_NODES) {
            throw new ParameterException(spec.commandLine(), "--nodes: 1 to " + MOST_NODES + ", and not " + nodes);
        }
        if (seconds < LEAST_SECONDS || seconds > MOST_SECONDS) {
            throw new ParameterException(spec.commandLine(),
                    "--seconds: " + LEAST_SECONDS + " to " + MOST_SECONDS + ", and not " + seconds);
        }
        if (gap < 50 || gap > 60_000) {
            throw new ParameterException(spec.commandLine(), "--gap: 50 to 60000, and not " + gap);
        }
        if (lease < 700 || lease > 60_000) {
            throw new ParameterException(spec.commandLine(), "--lease: 700 to 60000, and not " + lease);
        }
        if (plant != null && !Plants.all().containsKey(plant)) {
            throw new ParameterException(spec.commandLine(), "--plant: no fault of that name: " + plant);
        }
    }
}
