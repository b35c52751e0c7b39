package rowanplank.cli;

import com.eclipsesource.json.WriterConfig;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ParseResult;
import picocli.CommandLine.Spec;
import rowanplank.config.ConfigException;
import rowanplank.lab.trial.Plants;
import rowanplank.lab.trial.Trial;
import rowanplank.lab.trial.TrialCase;
import rowanplank.lab.trial.TrialFile;
import rowanplank.lab.trial.TrialPlan;
import rowanplank.lab.trial.TrialResult;

@Command(name = "trial", description = {"Starts real nodes, breaks what is between them and under them, as drawn from a",
    "seed, and judges the history of what was done. Status 3: a rule was broken; 1: it could not be played."})
final class FleetTrialCommand implements Callable<Integer> {
    private static final int MOST_NODES = 30;
    private static final int MOST_SECONDS = 3600;
    /** In place of the file's fault. */
    private static final String WITHOUT = "none";
    private static final List<String> SAID_BY_FILE = List.of("--kind", "--nodes", "--seconds", "--faults", "--lease", "--gap", "--drift");
    private static final double MOST_DRIFT = 0.5;

    @Spec
    private CommandSpec spec;
    @Mixin
    private TrialOptions trial;
    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "What breaks, and when, is drawn from it.")
    private long seed;
    @Option(names = "--seconds", paramLabel = "T", defaultValue = "20",
            description = {"From the first act on; at the end nothing breaks for 3 s and a lease, 4 s at the least,",
                "7 s of places, or a quarter of it."})
    private int seconds;
    @Option(names = "--drift", paramLabel = "D", defaultValue = "0.01",
            description = {"How far clocks of stand-ins run fast or slow at the most; the nodes reckon with 0.01. Where it",
                "is another, all nodes are stand-ins, else a third."})
    private double drift;
    @Option(names = "--out", paramLabel = "DIR", description = "Where all that it writes goes.")
    private Path out;
    @Option(names = "--json", description = "Prints the result as JSON.")
    private boolean json;
    @Option(names = "--file", paramLabel = "FILE", description = {"Plays the faults written there, as lab replay does in",
        "virtual time, among stand-ins of nodes; of its own --seed and --plant may be others, --plant none for no fault."})
    private Path file;

    @Override
    public Integer call() throws Exception {
        if ("list".equals(trial.plant)) {
            Plants.all().forEach((name, what) -> System.out.printf("%-24s %s%n", name, what));
            return Status.DONE;
        }
        Path folder = folder();
        Trial real = file == null ? drawn(folder) : written(folder);
        Thread end = new Thread(real::end, "end");
        Runtime.getRuntime().addShutdownHook(end);
        TrialResult result = real.play();
        Runtime.getRuntime().removeShutdownHook(end);
        System.out.print(json ? result.json().toString(WriterConfig.PRETTY_PRINT) + "\n"
                : result.text() + "history, files and logs: " + folder + "\n");
        return result.findings().isEmpty() ? Status.DONE : Status.RULE_BROKEN;
    }

    /** The seed and the fault of its nodes may be others than the file's; all else is as it says. */
    private Trial written(Path folder) {
        ParseResult given = spec.commandLine().getParseResult();
        for (String option : SAID_BY_FILE) {
            if (given.hasMatchedOption(option)) {
                throw new ParameterException(spec.commandLine(), option + ": the file says it");
            }
        }
        boolean without = WITHOUT.equals(trial.plant);
        if (!without) {
            trial.checkPlant(spec);
        }
        TrialCase read = TrialFile.read(file.toString(), LabReplayCommand.read(file));
        if (read.nodes() > MOST_NODES) {
            throw new ConfigException(file + ": trial.nodes: at most " + MOST_NODES + " among real processes");
        }
        TrialCase played = read.as(given.hasMatchedOption("--seed") ? seed : read.seed(),
                without ? "" : trial.plant == null ? read.plant() : trial.plant);
        return played.amongProcesses(played.plant().isEmpty() ? NodeCommand.standIn() : NodeCommand.planted(played.plant()),
                folder.toString());
    }

    private Trial drawn(Path folder) {
        trial.check(spec, MOST_NODES);
        Duration ofLease = TrialPlan.leastQuiet(trial.lease());
        Duration quiet = ofLease.compareTo(trial.kind.quiet()) < 0 ? trial.kind.quiet() : ofLease;
        if (!(drift >= 0 && drift <= MOST_DRIFT)) {
            throw new ParameterException(spec.commandLine(), "--drift: 0 to " + MOST_DRIFT);
        }
        TrialOptions.within(spec, "--seconds", seconds, (int) quiet.plusSeconds(1).toSeconds(), MOST_SECONDS);
        Duration length = Duration.ofSeconds(seconds);
        Duration quarter = length.dividedBy(4);
        boolean planted = trial.plant != null;
        boolean allStandIn = planted || drift != Trial.DRIFT; // else two thirds would go by the machine's clock
        return new Trial(new TrialPlan(trial.kind, trial.nodes, seed, length,
                quarter.compareTo(quiet) < 0 ? quiet : quarter, trial.lease(), trial.faults, trial.gap(),
                allStandIn ? List.of() : NodeCommand.ofFile(),
                planted ? NodeCommand.planted(trial.plant) : NodeCommand.standIn(), folder.toString()), drift, null);
    }

    private Path folder() throws IOException {
        if (out == null) {
            return Files.createTempDirectory("rowanplank-trial-");
        }
        try {
            Path made = Files.createDirectories(out);
            Files.delete(Files.createTempFile(made, "trial", ""));
            return made;
        } catch (IOException e) {
            throw new ParameterException(spec.commandLine(), "--out: " + out + " can't be written to: "
                    + (Files.exists(out) && !Files.isDirectory(out) ? "it is no directory" : e), e);
        }
    }
}
