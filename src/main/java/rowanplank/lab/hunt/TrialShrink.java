package rowanplank.lab.hunt;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.UnaryOperator;
import rowanplank.lab.trial.TrialCase;
import rowanplank.lab.trial.TrialFault;

/**
 * Makes a trial of leases smaller that breaks a rule, as long as it breaks the same one: fewer faults, fewer nodes, a
 * shorter trial, shorter and earlier faults on fewer ways, over and over until nothing more can go.
 */
public final class TrialShrink {
    private static final int MOST_ROUNDS = 6;

    /** A smaller trial, and how many were played to find it. */
    public record Smaller(TrialCase trial, int plays) { }

    private final int mostPlays;
    private TrialCase best;
    private int plays;

    private TrialShrink(TrialCase found, int mostPlays) {
        best = found;
        this.mostPlays = mostPlays;
    }

    /**
     * @param found it breaks its rule
     * @param mostPlays it ends after so many plays, with the smallest trial by then
     */
    public static Smaller shrink(TrialCase found, int mostPlays) {
        TrialShrink shrink = new TrialShrink(found, mostPlays);
        for (int round = 0; round < MOST_ROUNDS && shrink.round(); round++) {
            continue;
        }
        return new Smaller(shrink.best, shrink.plays);
    }

    /** @return whether anything could go */
    private boolean round() {
        TrialCase before = best;
        Fewer.of(best.faults(), fewer -> keeps(best.with(fewer)));
        for (int nodes = 1; nodes < best.nodes() && !keeps(best.among(nodes)); nodes++) {
            continue;
        }
        for (int parts = 2; parts <= 16; parts *= 2) {
            Duration shorter = Duration.ofMillis(best.length().minus(best.length().dividedBy(parts)).toMillis());
            while (shorter.compareTo(TrialCase.SHORTEST) >= 0 && keeps(best.lasting(shorter))) {
                shorter = Duration.ofMillis(best.length().minus(best.length().dividedBy(parts)).toMillis());
            }
        }
        for (int i = 0; i < best.faults().size(); i++) {
            each(i);
        }
        return !best.equals(before);
    }

    private void each(int i) {
        while (best.faults().get(i).ms() > 1 && keeps(i, f -> f.lasting(f.ms() / 2))) {
            continue;
        }
        while (best.faults().get(i).atMs() > 0 && keeps(i, f -> f.at(f.atMs() / 2))) {
            continue;
        }
        List<String> ways = best.faults().get(i).ways();
        if (ways.size() > 1) {
            Fewer.of(ways, fewer -> !fewer.isEmpty() && keeps(i, f -> f.on(fewer)));
        }
    }

    private boolean keeps(int place, UnaryOperator<TrialFault> change) {
        List<TrialFault> faults = new ArrayList<>(best.faults());
        faults.set(place, change.apply(faults.get(place)));
        faults.sort(Comparator.comparingLong(TrialFault::atMs)); // where it moves, another one is in its place
        return keeps(best.with(faults));
    }

    private boolean keeps(TrialCase candidate) {
        if (candidate.equals(best) || plays >= mostPlays) {
            return false;
        }
        plays++;
        boolean breaks = candidate.breaks(candidate.play());
        best = breaks ? candidate : best;
        return breaks;
    }
}
