package rowanplank.lab.trial;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import rowanplank.fleet.FleetComponents;
import rowanplank.lab.trial.judge.Event;
import rowanplank.lab.trial.judge.Event.Kind;
import rowanplank.lab.trial.judge.Told;

/**
 * How soon the parts of a budget follow nodes that go and nodes that come, in virtual time: whole nodes that use all that
 * they get, two uses a node, of up to 400 ms. Voters are asked each 100 ms, so no time is known better than that.
 */
public final class ShareTimes {
    private static final Duration FROM = Duration.ofSeconds(4);
    private static final Duration LENGTH = Duration.ofSeconds(30);
    private static final Duration LONGEST = Duration.ofMillis(400);
    private static final int EACH = 2;
    private static final int COPIES = 40;
    private static final double NEARLY = 0.95;

    private ShareTimes() { }

    /** @return ms after the kill until those that are left may use 95 % of the whole; -1 where they never may */
    public static long afterKill(int nodes, int killed, long seed, Duration part) {
        List<TrialFault> faults = IntStream.range(nodes - killed, nodes).mapToObj(n -> TrialFault.of(FROM.toMillis() - 2000,
                TrialFault.What.KILL, TrialPlan.name(n), LENGTH.toMillis())).toList();
        TrialResult r = play(nodes, 0, seed, part, faults);
        long at = r.history().stream().filter(e -> e.kind() == Kind.KILLED).mapToLong(Event::at).findFirst().orElseThrow();
        return after(r, at, parts -> IntStream.range(0, nodes - killed)
                .mapToDouble(n -> parts.getOrDefault(TrialPlan.name(n), 0.0)).sum() >= NEARLY * EACH * nodes);
    }

    /** @return ms after others have joined until each node has an even part; -1 where it never has */
    public static long afterJoin(int nodes, int joined, long seed, Duration part) {
        TrialResult r = play(nodes + joined, joined, seed, part, List.of());
        return after(r, FROM.toNanos() / 1000, parts -> IntStream.range(0, nodes + joined)
                .allMatch(n -> parts.getOrDefault(TrialPlan.name(n), 0.0) >= EACH));
    }

    private static TrialResult play(int nodes, int late, long seed, Duration part, List<TrialFault> faults) {
        TrialPlan plan = new TrialPlan(TrialKind.BUDGETS, nodes, seed, LENGTH, Duration.ofSeconds(4), part, List.of(), Trouble.GAP,
                List.of(), List.of(), "");
        int[] copies = new int[nodes];
        Arrays.fill(copies, COPIES);
        Duration[] starts = new Duration[nodes];
        Arrays.setAll(starts, n -> n < nodes - late ? Duration.ZERO : FROM);
        return new VirtualTrial(VirtualTrial.Setting.of(plan, 0.01, new FleetComponents()), faults, new BudgetSubject(plan,
                new BudgetSubject.Set(EACH * nodes, 0, copies, copies, Duration.ofMillis(50), LONGEST, starts))).play();
    }

    private static long after(TrialResult r, long at, Predicate<TreeMap<String, Double>> is) {
        long applied = 0;
        for (Event e : r.history()) {
            if (e.kind() == Kind.BUDGET && e.name().equals(BudgetSubject.PLACES) && e.other() >= applied) {
                applied = e.other();
                TreeMap<String, Double> parts = new TreeMap<>();
                Told.parse(e.text()).parts().forEach(p -> parts.merge(p.node(), Math.min(p.amount(), p.target()), Double::sum));
                if (e.at() > at && is.test(parts)) {
                    return (e.at() - at) / 1000;
                }
            }
        }
        return -1;
    }
}
