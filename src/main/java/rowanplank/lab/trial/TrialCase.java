package rowanplank.lab.trial;

import java.time.Duration;
import java.util.List;
import rowanplank.fleet.FleetComponents;

/**
 * One trial with all that it hangs on: played again in virtual time it gives the same history and the same verdict, on
 * the same build. Among real processes what breaks, and when, is the same.
 *
 * @param kind what it is about
 * @param length 7 s at the least: 2 s in which nothing breaks yet, and 4 s in which nothing breaks any more
 * @param drift how far clocks run fast or slow at the most
 * @param plant the fault that its nodes have; empty where they have none
 * @param rule which it was kept for
 * @param faults in order of time
 */
public record TrialCase(TrialKind kind, int nodes, long seed, Duration length, Duration lease, double drift, String plant,
        String rule, List<TrialFault> faults) {
    public static final Duration SHORTEST = Duration.ofSeconds(7);
    /** Of its length nothing breaks in so much; among real processes, which begin with the first act, in the end alone. */
    private static final Duration WITHOUT = Duration.ofSeconds(6);

    public TrialCase {
        faults = List.copyOf(faults);
    }

    /** The trial that a seed draws. */
    public static TrialResult play(TrialPlan plan, double drift, String plant) {
        return new VirtualTrial(VirtualTrial.Setting.of(plan, drift, parts(plant))).play();
    }

    /** The same, with what it drew. */
    public static TrialCase drawn(TrialPlan plan, double drift, String plant, String rule) {
        VirtualTrial trial = new VirtualTrial(VirtualTrial.Setting.of(plan, drift, parts(plant)));
        trial.play();
        return new TrialCase(plan.kind(), plan.nodes(), plan.seed(), plan.length(), plan.lease(), drift, plant, rule, trial.faults());
    }

    private static FleetComponents parts(String plant) {
        return plant.isEmpty() ? new FleetComponents() : Plants.parts(plant);
    }

    public TrialResult play() {
        return new VirtualTrial(VirtualTrial.Setting.of(plan(length, List.of(), ""), drift, parts(plant)), faults).play();
    }

    /**
     * The same among real processes. All are stand-ins, so that whatever is written down can be done to each.
     *
     * @param standIn starts one: the rate of its clock, the size of its messages and its file are put behind it
     */
    public Trial amongProcesses(List<String> standIn, String folder) {
        return new Trial(plan(length.minus(WITHOUT).plus(TrialPlan.leastQuiet(lease)), standIn, folder), drift, faults);
    }

    private TrialPlan plan(Duration whole, List<String> standIn, String folder) {
        return new TrialPlan(kind, nodes, seed, whole, TrialPlan.leastQuiet(lease), lease, List.of(), Trouble.GAP, List.of(), standIn,
                folder);
    }

    /** Whether a trial broke the rule that this one was kept for. */
    public boolean breaks(TrialResult played) {
        return played.findings().stream().anyMatch(f -> f.rule().equals(rule));
    }

    /** The same of another seed, and with another planted fault, or none where that is empty. */
    public TrialCase as(long otherSeed, String otherPlant) {
        return new TrialCase(kind, nodes, otherSeed, length, lease, drift, otherPlant, rule, faults);
    }

    public TrialCase with(List<TrialFault> others) {
        return new TrialCase(kind, nodes, seed, length, lease, drift, plant, rule, others);
    }

    /** A shorter one: what would come later is left out, what would last longer ends sooner. */
    public TrialCase lasting(Duration other) {
        long end = other.minus(WITHOUT).toMillis();
        return new TrialCase(kind, nodes, seed, other, lease, drift, plant, rule, faults.stream().filter(f -> f.atMs() < end)
                .map(f -> f.lasting(Math.min(f.ms(), end - f.atMs()))).toList());
    }

    /** One of fewer nodes: what befalls others is left out. */
    public TrialCase among(int fewer) {
        return new TrialCase(kind, fewer, seed, length, lease, drift, plant, rule, faults.stream()
                .filter(f -> isThere(f.node(), fewer)).map(f -> f.on(f.ways().stream()
                        .filter(w -> isThere(w.split(">")[0], fewer) && isThere(w.split(">")[1], fewer)).toList()))
                .filter(f -> !f.node().isEmpty() || !f.ways().isEmpty()).toList());
    }

    private static boolean isThere(String node, int nodes) {
        return !node.matches("n[0-9]+") || Integer.parseInt(node.substring(1)) <= nodes;
    }
}
