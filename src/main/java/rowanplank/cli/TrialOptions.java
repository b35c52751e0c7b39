package rowanplank.cli;

import java.time.Duration;
import java.util.List;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import rowanplank.lab.trial.Plants;
import rowanplank.lab.trial.TrialKind;
import rowanplank.lab.trial.Trouble;

/** What a trial is to be, with real processes or in virtual time. */
final class TrialOptions {
    private static final int LEAST_GAP_MS = 50;
    private static final int LEAST_LEASE_MS = 700;
    private static final int MOST_MS = 60_000;

    @Option(names = "--kind", paramLabel = "KIND", defaultValue = "leases",
            description = "What is tried: ${COMPLETION-CANDIDATES}.")
    TrialKind kind;
    @Option(names = "--nodes", paramLabel = "N", defaultValue = "3", description = "How many; the first 3 or 5 vote.")
    int nodes;
    @Option(names = "--plant", paramLabel = "NAME",
            description = "The nodes have this fault; \"list\" as that of fleet trial tells which.")
    String plant;
    @Option(names = "--faults", paramLabel = "KIND", split = ",",
            description = "What may break; usually all: ${COMPLETION-CANDIDATES}.")
    List<Trouble.Kind> faults = List.of();
    @Option(names = "--lease", paramLabel = "MS", defaultValue = "1000", description = "The lease's length, in ms.")
    private int lease;
    @Option(names = "--gap", paramLabel = "MS", defaultValue = "700", description = "How far apart faults are on average.")
    private int gap;

    Duration lease() {
        return Duration.ofMillis(lease);
    }

    Duration gap() {
        return Duration.ofMillis(gap);
    }

    /** @throws ParameterException with one line, where an option is out of its bounds */
    void check(CommandSpec spec, int mostNodes) {
        within(spec, "--nodes", nodes, 1, mostNodes);
        within(spec, "--gap", gap, LEAST_GAP_MS, MOST_MS);
        within(spec, "--lease", lease, LEAST_LEASE_MS, MOST_MS);
        checkPlant(spec);
    }

    /** @throws ParameterException with one line, where there is no such fault */
    void checkPlant(CommandSpec spec) {
        if (plant != null && !Plants.all().containsKey(plant)) {
            throw new ParameterException(spec.commandLine(), "--plant: no fault of that name: " + plant);
        }
    }

    static void within(CommandSpec spec, String option, int value, int least, int most) {
        if (value < least || value > most) {
            throw new ParameterException(spec.commandLine(), option + ": " + least + " to " + most + ", and not " + value);
        }
    }
}
