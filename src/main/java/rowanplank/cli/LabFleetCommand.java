package rowanplank.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import rowanplank.fleet.FleetComponents;
import rowanplank.lab.hunt.TrialShrink;
import rowanplank.lab.trial.Plants;
import rowanplank.lab.trial.TrialCase;
import rowanplank.lab.trial.TrialFile;
import rowanplank.lab.trial.TrialKind;
import rowanplank.lab.trial.TrialPlan;
import rowanplank.lab.trial.TrialResult;
import rowanplank.lab.trial.VirtualTrial;
import rowanplank.lab.trial.judge.Event;

@Command(name = "fleet", description = {"Plays trials in virtual time, one for each seed, with the nodes, the",
    "faults and the judge of fleet trial, and disks and clocks that fail besides. Status 3: a rule was broken."})
final class LabFleetCommand implements Callable<Integer> {
    private static final int MOST_SHRINKING_PLAYS = 400;
    private static final int MOST_NODES = 100;

    @Spec
    private CommandSpec spec;
    @Mixin
    private TrialOptions trial;
    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "The first one.")
    private long seed;
    @Option(names = "--seeds", paramLabel = "N", defaultValue = "100", description = "How many, one after the other.")
    private int seeds;
    @Option(names = "--seconds", paramLabel = "T", defaultValue = "30", description = "Virtual ones, 10 at the least.")
    private int seconds;
    @Option(names = "--drift", paramLabel = "D", defaultValue = "0.01",
            description = "How far clocks run fast or slow at the most; the nodes reckon with 0.01.")
    private double drift;
    @Option(names = "--history", description = "Prints the whole history of the first broken trial, and what its nodes wrote.")
    private boolean history;

    @Option(names = "--shrink", paramLabel = "FILE", description = {"Makes the first broken trial smaller as long as it breaks",
        "the same rule, prints it, and writes it to FILE for lab replay."})
    private Path shrink;

    @Override
    public Integer call() throws Exception {
        trial.check(spec, MOST_NODES);
        if (trial.kind == TrialKind.PLACES) {
            throw new ParameterException(spec.commandLine(), "--kind: " + trial.kind
                    + " are tried with real processes only, by fleet trial");
        }
        if (seconds < 10 || seeds < 1) {
            throw new ParameterException(spec.commandLine(), "--seconds from 10, --seeds from 1");
        }
        ExecutorService cores = Executors.newFixedThreadPool(Runtime.getRuntime().availableProcessors());
        Sum sum = new Sum();
        for (int i = 0; i < seeds; i++) {
            long s = seed + i;
            cores.execute(() -> sum.add(play(s)));
        }
        cores.shutdown();
        cores.awaitTermination(1, TimeUnit.DAYS);
        if (sum.first != null) {
            System.out.print("seed " + sum.first.plan().seed() + ":\n" + sum.first.text());
            if (history) {
                sum.first.history().forEach(e -> System.out.println(e.line().replace('\t', ' ')));
                sum.first.log().forEach(System.out::println);
            }
            if (shrink != null) {
                shrink(sum.first);
            }
        }
        System.out.printf(Locale.ROOT, "%d of %d trials broke a rule; %d acts, %d late ones after long stalls; %.1f datagrams, "
                + "%.0f bytes a node and second%n", sum.broken, sum.played, sum.acts, sum.late,
                sum.datagrams / (double) sum.played / trial.nodes / seconds,
                sum.bytes / (double) sum.played / trial.nodes / seconds);
        if (!sum.gaps.isEmpty()) {
            sum.gaps.sort(null);
            System.out.printf(Locale.ROOT, "%d takeovers; without a holder at one: median %d ms, 99 %% %d ms, longest %d ms%n",
                    sum.gaps.size(), sum.gaps.get(sum.gaps.size() / 2), sum.gaps.get(sum.gaps.size() * 99 / 100),
                    sum.gaps.get(sum.gaps.size() - 1));
        }
        return sum.broken == 0 && sum.played == seeds ? Status.DONE : Status.RULE_BROKEN;
    }

    private void shrink(TrialResult first) throws IOException {
        TrialCase found = TrialCase.drawn(first.plan(), drift, trial.plant == null ? "" : trial.plant,
                first.findings().get(0).rule());
        TrialShrink.Smaller smaller = TrialShrink.shrink(found, MOST_SHRINKING_PLAYS);
        System.out.printf(Locale.ROOT, "made smaller in %d plays, from %d faults to %d, written to %s:%n", smaller.plays(),
                found.faults().size(), smaller.trial().faults().size(), shrink);
        String text = TrialFile.write(smaller.trial());
        System.out.print(text);
        Files.writeString(shrink, text);
    }

    /** What all trials came to; of the histories only that of the lowest broken seed is kept. */
    private static final class Sum {
        private long played;
        private long broken;
        private long acts;
        private long late;
        private long datagrams;
        private long bytes;
        private final List<Long> gaps = new ArrayList<>();
        private TrialResult first;

        synchronized void add(TrialResult r) {
            played++;
            acts += r.count(Event.Kind.BEGIN);
            late += r.lateActs();
            datagrams += r.datagrams();
            bytes += r.bytes();
            gaps.addAll(r.gapsMs());
            if (!r.findings().isEmpty()) {
                broken++;
                first = first == null || r.plan().seed() < first.plan().seed() ? r : first;
            }
        }
    }

    private TrialResult play(long s) {
        Duration length = Duration.ofSeconds(seconds);
        TrialPlan plan = new TrialPlan(trial.kind, trial.nodes, s, length, Duration.ofSeconds(4), trial.lease(), trial.faults,
                trial.gap(), List.of(), List.of(), "");
        FleetComponents parts = trial.plant == null ? new FleetComponents() : Plants.parts(trial.plant);
        return new VirtualTrial(VirtualTrial.Setting.of(plan, drift, parts)).play();
    }
}
