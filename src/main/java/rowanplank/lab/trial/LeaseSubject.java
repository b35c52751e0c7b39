package rowanplank.lab.trial;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import rowanplank.config.FleetConfig;
import rowanplank.lab.trial.judge.Event;
import rowanplank.lab.trial.judge.Event.Kind;
import rowanplank.lab.trial.judge.Judge;
import rowanplank.lab.trial.judge.LeaseJudge;

/** A lease that one node at a time acts under, and one under which there is an act once a period. */
final class LeaseSubject implements Subject {
    /** Of budgets, or against what is assumed. */
    private static final Set<Trouble.Kind> OTHERS = EnumSet.of(Trouble.Kind.OLDER, Trouble.Kind.WHOLE, Trouble.Kind.RUSH);

    /** Of a trial's figures: each time without a holder, in ms and in order of length. */
    static final String GAPS = "gaps_ms";

    private final TrialPlan plan;
    /** Whose file has no daily lease now, and another task. */
    private final BitSet withoutDaily = new BitSet();

    LeaseSubject(TrialPlan plan) {
        this.plan = plan;
    }

    @Override
    public Wishes wishes(int node, List<String> command) {
        boolean daily = !withoutDaily.get(node);
        List<FleetConfig.Lease> leases = new ArrayList<>();
        List<FleetConfig.Task> tasks = new ArrayList<>();
        leases.add(new FleetConfig.Lease(TrialPlan.LEASE, plan.lease()));
        tasks.add(task("act", TrialPlan.LEASE, Duration.ofMillis(daily ? 30 : 40), false, command));
        if (daily) {
            leases.add(new FleetConfig.Lease(TrialPlan.DAILY, plan.lease()));
            tasks.add(task("once", TrialPlan.DAILY, TrialPlan.PERIOD, true, command));
        }
        return new Wishes(leases, tasks, FleetConfig.Sharing.NONE);
    }

    private static FleetConfig.Task task(String name, String lease, Duration every, boolean once, List<String> command) {
        return new FleetConfig.Task(name, lease, command, every, once, TrialPlan.LONGEST, TrialPlan.ALLOWANCE);
    }

    @Override
    public void change(int node, UniformRandomProvider chance) {
        withoutDaily.flip(node);
    }

    @Override
    public List<Integer> settle() {
        List<Integer> changed = withoutDaily.stream().boxed().toList();
        withoutDaily.clear();
        return changed;
    }

    @Override
    public Duration longest() {
        return TrialPlan.LONGEST;
    }

    @Override
    public String takes() {
        return "0.02";
    }

    @Override
    public boolean isHeld(String name) {
        return name.equals(TrialPlan.LEASE);
    }

    @Override
    public String asked() {
        return TrialPlan.LEASE;
    }

    @Override
    public List<Trouble.Kind> faults() {
        return Arrays.stream(Trouble.Kind.values()).filter(k -> !OTHERS.contains(k)).toList();
    }

    @Override
    public Judge judge(List<Event> history, Duration goesOn) {
        return new LeaseJudge(history, TrialPlan.ALLOWANCE.toNanos() / 1000, goesOn.toNanos() / 1000);
    }

    @Override
    public TrialResult.Figures figures(List<Event> history) {
        Map<String, List<Long>> byFault = gaps(history);
        List<Long> gaps = new ArrayList<>();
        JsonObject each = new JsonObject();
        StringBuilder lines = new StringBuilder();
        byFault.forEach((fault, of) -> {
            gaps.addAll(of);
            of.sort(null);
            lines.append(String.format(Locale.ROOT, "%n  at %-18s %3d, median %d ms, 99 %% %d ms", fault, of.size(),
                    gap(of, 0.5), gap(of, 0.99)));
            each.add(fault, spread(of));
        });
        gaps.sort(null);
        JsonArray all = new JsonArray();
        gaps.forEach(all::add);
        return new TrialResult.Figures(String.format(Locale.ROOT, "%d takeovers; without a holder at a takeover: median %d ms, "
                + "99 %% %d ms, lease %d ms", gaps.size(), gap(gaps, 0.5), gap(gaps, 0.99), plan.lease().toMillis()) + lines,
                spread(gaps).add("lease_ms", plan.lease().toMillis()).add("by_fault", each).add(GAPS, all));
    }

    private static JsonObject spread(List<Long> gaps) {
        return new JsonObject().add("takeovers", gaps.size()).add("gap_ms_median", gap(gaps, 0.5))
                .add("gap_ms_99", gap(gaps, 0.99));
    }

    /**
     * Without a holder, between the last act of one and the first of the next, in ms, by the kind of the fault. That is the
     * first one drawn after the last act had begun; where none was, the last one before.
     */
    private static Map<String, List<Long>> gaps(List<Event> history) {
        Map<String, List<Long>> gaps = new TreeMap<>();
        Event last = null;
        String latest = Trouble.Kind.NOTHING.name();
        String first = null;
        for (Event e : history) {
            if (e.kind() == Kind.DRAWN) {
                latest = e.name();
                first = first == null ? latest : first;
            }
            if (!e.name().equals(TrialPlan.LEASE)) {
                continue;
            }
            if (e.kind() == Kind.BEGIN) {
                if (last != null && last.number() != e.number()) {
                    gaps.computeIfAbsent(first == null ? latest : first, f -> new ArrayList<>())
                            .add(Math.max(0, e.at() - last.at()) / 1000);
                }
                first = null;
            }
            last = e.kind() == Kind.BEGIN || e.kind() == Kind.END ? e : last;
        }
        return gaps;
    }

    private static long gap(List<Long> gaps, double share) {
        return gaps.isEmpty() ? 0 : gaps.get((int) Math.min(gaps.size() - 1L, (long) (gaps.size() * share)));
    }
}
