package rowanplank.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import rowanplank.config.ConfigException;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.DayDraw;
import rowanplank.lab.day.DayEdit;
import rowanplank.lab.day.DayFile;
import rowanplank.lab.hunt.Hunt;
import rowanplank.lab.hunt.TrialHunt;
import rowanplank.lab.hunt.TrialShrink;
import rowanplank.lab.run.DayRun;
import rowanplank.lab.trial.Plants;
import rowanplank.lab.trial.TrialFile;
import rowanplank.lab.trial.TrialKind;
import rowanplank.lab.trial.TrialPlan;
import rowanplank.net.Clock;
import rowanplank.net.SystemClock;

@Command(name = "hunt", description = {"Plays random days, or trials of fleets in virtual time, until a rule is broken or a",
    "day never ends, makes what broke it smaller, and writes it as a file for replay."})
final class LabHuntCommand implements Callable<Integer> {
    private static final int MOST_NODES = 1000;
    private static final int MOST_NODES_OF_TRIALS = 100;
    private static final Duration TRIAL = Duration.ofSeconds(20);
    private static final double DRIFT = 0.01;

    @Option(names = "--minutes", paramLabel = "M", required = true, description = "How long to hunt.")
    private double minutes;
    @Option(names = "--nodes", paramLabel = "N", defaultValue = "3", description = "Usually ${DEFAULT-VALUE}.")
    private int nodes;
    @Option(names = "--cores", paramLabel = "C", description = "How many days at a time; usually all cores.")
    private int cores = Runtime.getRuntime().availableProcessors();
    @Option(names = "--seed", paramLabel = "N", defaultValue = "1",
            description = "Of the first day; each next one has the next. Usually ${DEFAULT-VALUE}.")
    private long seed;
    @Option(names = "--days", paramLabel = "N", description = "How many days at most.")
    private long days = Long.MAX_VALUE;
    @Option(names = "--all", description = "Goes on to the end, and keeps a day for each rule that was broken.")
    private boolean all;
    @Option(names = "--kind", paramLabel = "KIND",
            description = "Trials of fleets in place of days, about this: ${COMPLETION-CANDIDATES}.")
    private TrialKind kind;
    @Option(names = "--plant", paramLabel = "NAME",
            description = "Of trials: the nodes have this fault, as \"fleet trial --plant list\" tells them.")
    private String plant = "";
    @Option(names = "--out", paramLabel = "DIR", defaultValue = ".",
            description = "Where days are written; usually here.")
    private Path out;

    private int status = Status.DONE;

    static void requireNodes(int nodes) {
        if (nodes < 1 || nodes > MOST_NODES) {
            throw new ConfigException("--nodes must be from 1 to " + MOST_NODES + ", not " + nodes);
        }
    }

    @Override
    public Integer call() throws InterruptedException {
        requireNodes(nodes);
        if (!(minutes > 0 && minutes < 1e6) || cores < 1 || days < 1) {
            throw new ConfigException("--minutes, --cores and --days must be above zero");
        }
        Clock clock = new SystemClock();
        Instant until = clock.now().plus(Duration.ofMillis((long) (minutes * 60_000)));
        if (kind != null) {
            return trials(clock, until);
        }
        Hunt hunt = new Hunt(new DayRun(DayRun.Manner.usual(clock)), clock,
                new Hunt.Plan(s -> DayDraw.random(s, nodes), seed, days, until, cores, all));
        ExecutorService threads = Executors.newFixedThreadPool(cores);
        Interrupt interrupt = new Interrupt(hunt::stop);
        try {
            Hunt.Report report = hunt.run(threads);
            report.finds().forEach(this::print);
            System.out.print(report.text());
            System.out.flush();
            report.finds().forEach(this::write);
            return status != Status.DONE ? status
                    : report.interrupted() ? Status.failed(Status.INTERRUPTED, "interrupted; this is what was finished")
                    : report.finds().isEmpty() ? Status.DONE : Status.RULE_BROKEN;
        } finally {
            interrupt.close();
            threads.shutdownNow();
        }
    }

    private int trials(Clock clock, Instant until) throws InterruptedException {
        if (kind == TrialKind.PLACES || nodes > MOST_NODES_OF_TRIALS || !plant.isEmpty() && !Plants.all().containsKey(plant)) {
            throw new ConfigException("--kind, --nodes, --plant: not places, up to " + MOST_NODES_OF_TRIALS
                    + " nodes, and a fault that \"fleet trial --plant list\" tells of");
        }
        TrialHunt hunt = new TrialHunt(clock, new TrialHunt.Plan(s -> TrialPlan.virtual(kind, nodes, s, TRIAL), DRIFT, plant,
                seed, days, until, cores, all));
        ExecutorService threads = Executors.newFixedThreadPool(cores);
        Interrupt interrupt = new Interrupt(hunt::stop);
        try {
            TrialHunt.Report report = hunt.run(threads);
            System.out.print(report.text());
            report.finds().forEach(this::keep);
            return status != Status.DONE ? status
                    : report.interrupted() ? Status.failed(Status.INTERRUPTED, "interrupted; this is what was finished")
                    : report.finds().isEmpty() ? Status.DONE : Status.RULE_BROKEN;
        } finally {
            interrupt.close();
            threads.shutdownNow();
        }
    }

    private void keep(TrialShrink.Smaller find) {
        Path file = file(find.trial().rule(), find.trial().seed());
        System.out.printf(Locale.ROOT, "%s: made smaller in %d plays, %s%n", find.trial().rule(), find.plays(), file);
        write(file, TrialFile.write(find.trial()));
    }

    private Path file(String rule, long ofSeed) {
        return out.resolve(rule.toLowerCase(Locale.ROOT).replace('_', '-') + "-" + ofSeed + ".toml");
    }

    private Path file(Hunt.Find find) {
        return file(find.rule(), find.found().day().seed());
    }

    private void print(Hunt.Find find) {
        System.out.printf(Locale.ROOT, "%s: made smaller in %d plays, %s%n", find.rule(), find.smaller().plays(),
                file(find));
        System.out.print(find.smaller().result().text());
        System.out.println();
    }

    private void write(Hunt.Find find) {
        Day day = DayEdit.withName(find.smaller().day(), find.rule().toLowerCase(Locale.ROOT));
        write(file(find), DayFile.write(day));
    }

    private void write(Path file, String text) {
        try {
            Files.createDirectories(out);
            Files.writeString(file, text);
        } catch (IOException e) {
            System.out.print(text);
            status = Status.failed(Status.FAILED, "can't write " + file + ": " + e);
        }
    }
}
