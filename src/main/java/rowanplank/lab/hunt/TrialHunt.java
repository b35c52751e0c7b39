package rowanplank.lab.hunt;

import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.SortedMap;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.function.LongFunction;
import java.util.stream.Collectors;
import rowanplank.lab.trial.TrialCase;
import rowanplank.lab.trial.TrialPlan;
import rowanplank.lab.trial.TrialResult;
import rowanplank.net.Clock;

/** The same of trials of fleets in virtual time: see {@link Hunt}. */
public final class TrialHunt {
    private static final int MOST_SHRINKING_PLAYS = 200;

    /** @param plant the fault that all nodes have; empty where they have none. For the rest see {@link Hunt.Plan} */
    public record Plan(LongFunction<TrialPlan> draw, double drift, String plant, long firstSeed, long mostTrials,
            Instant until, int cores, boolean goesOn) { }

    /** @param broken in how many trials each rule was. @param finds of each rule one trial, made smaller */
    public record Report(long trials, SortedMap<String, Long> broken, List<TrialShrink.Smaller> finds, boolean interrupted) {
        public String text() {
            StringBuilder t = new StringBuilder(String.format(Locale.ROOT, "%d trials%s%n", trials,
                    interrupted ? "; interrupted" : ""));
            broken.forEach((rule, count) -> t.append(String.format(Locale.ROOT, "rule broken: %s, in %d of them%n", rule, count)));
            return t.toString();
        }
    }

    private final Plan plan;
    private final Search<TrialResult> search;

    public TrialHunt(Clock clock, Plan plan) {
        this.plan = plan;
        search = new Search<>(new Search.Bounds(plan.firstSeed(), plan.mostTrials(), plan.until(), plan.cores(), plan.goesOn()),
                clock, seed -> TrialCase.play(plan.draw().apply(seed), plan.drift(), plan.plant()),
                r -> r.findings().stream().map(f -> f.rule()).collect(Collectors.toCollection(TreeSet::new)));
    }

    /** Ends it as soon as the trials that are being played are over; may be called from any thread. */
    public void stop() {
        search.stop();
    }

    public Report run(ExecutorService threads) throws InterruptedException {
        search.run(threads);
        List<TrialShrink.Smaller> finds = search.ofEach(threads, (rule, r) -> TrialShrink.shrink(
                TrialCase.drawn(r.plan(), plan.drift(), plan.plant(), rule), search.isStopped() ? 0 : MOST_SHRINKING_PLAYS));
        return new Report(search.played(), search.broken(), finds, search.isStopped());
    }
}
