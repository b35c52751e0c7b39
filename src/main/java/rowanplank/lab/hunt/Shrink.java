package rowanplank.lab.hunt;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.DayEdit;
import rowanplank.lab.day.Fault;
import rowanplank.lab.run.DayPlayer;
import rowanplank.lab.run.DayResult;

/**
 * Makes a day smaller that breaks a rule, as long as it breaks the same one: fewer faults, a shorter day, fewer nodes,
 * servers, halls, classes and clients, in that order, over and over until nothing more can go. Each step keeps what
 * was found, so that whatever ends it early, the result still breaks the rule.
 */
public final class Shrink {
    private static final int MOST_ROUNDS = 6;
    private static final Duration SHORTEST = Duration.ofSeconds(1);
    private static final double LEAST_RATE = 1;

    /** A smaller day, and what came of it. */
    public record Smaller(Day day, DayResult result, int plays) { }

    private final DayPlayer player;
    private final String rule;
    private final int mostPlays;
    private final BooleanSupplier stopped;
    private Day best;
    private DayResult result;
    private int plays;

    private Shrink(DayPlayer player, DayResult found, String rule, int mostPlays, BooleanSupplier stopped) {
        this.player = player;
        this.rule = rule;
        this.mostPlays = mostPlays;
        this.stopped = stopped;
        best = found.day();
        result = found;
    }

    /**
     * @param found a play that broke the rule
     * @param mostPlays it ends after so many plays, with the smallest day by then
     * @param stopped whether to end before the next play
     */
    public static Smaller shrink(DayPlayer player, DayResult found, String rule, int mostPlays,
            BooleanSupplier stopped) {
        Shrink shrink = new Shrink(player, found, rule, mostPlays, stopped);
        for (int round = 0; round < MOST_ROUNDS && shrink.round(); round++) {
            continue;
        }
        return new Smaller(shrink.best, shrink.result, shrink.plays);
    }

    /** @return whether anything could go */
    private boolean round() {
        boolean gone = faults();
        gone |= length();
        gone |= nodes();
        gone |= servers();
        gone |= halls();
        gone |= classes();
        gone |= rate();
        return gone | eachFault();
    }

    private boolean keeps(Day candidate) {
        if (candidate.equals(best) || plays >= mostPlays || stopped.getAsBoolean()) {
            return false;
        }
        plays++;
        DayResult played = player.play(candidate);
        if (!played.broken().containsKey(rule)) {
            return false;
        }
        best = candidate;
        result = played;
        return true;
    }

    private boolean faults() {
        int before = best.faults().size();
        return Fewer.of(best.faults(), fewer -> keeps(DayEdit.withFaults(best, fewer))).size() < before;
    }

    private boolean length() {
        boolean gone = false;
        for (int parts = 2; parts <= 8; parts *= 2) {
            while (true) {
                Duration cut = best.length().dividedBy(parts);
                Duration shorter = Duration.ofMillis(best.length().minus(cut).toMillis());
                if (shorter.compareTo(SHORTEST) < 0 || !keeps(DayEdit.withLength(best, shorter))) {
                    break;
                }
                gone = true;
            }
        }
        return gone;
    }

    private boolean nodes() {
        boolean gone = false;
        while (best.nodes().count() > 1 && (keeps(DayEdit.withNodes(best, best.nodes().count() / 2))
                || keeps(DayEdit.withNodes(best, best.nodes().count() - 1)))) {
            gone = true;
        }
        return gone;
    }

    private boolean servers() {
        boolean gone = false;
        while (best.servers().count() > 1 && (keeps(DayEdit.withServers(best, best.servers().count() / 2))
                || keeps(DayEdit.withServers(best, best.servers().count() - 1)))) {
            gone = true;
        }
        return gone;
    }

    private boolean halls() {
        boolean gone = false;
        while (best.halls().size() > 1 && keeps(DayEdit.withHalls(best, best.halls().size() - 1))) {
            gone = true;
        }
        return gone;
    }

    private boolean classes() {
        boolean gone = false;
        for (int i = best.classes().size() - 1; i >= 0 && best.classes().size() > 1; i--) {
            List<Day.RequestClass> fewer = new ArrayList<>(best.classes());
            fewer.remove(i);
            gone |= fewer.stream().anyMatch(c -> c.share() > 0) && keeps(DayEdit.withClasses(best, fewer));
        }
        return gone;
    }

    private boolean rate() {
        boolean gone = false;
        while (best.clients().rate() / 2 >= LEAST_RATE && keeps(DayEdit.withRate(best, best.clients().rate() / 2))) {
            gone = true;
        }
        return gone;
    }

    /** Shorter faults, and earlier ones, so that the day can be shorter too. */
    private boolean eachFault() {
        boolean gone = false;
        for (int i = 0; i < best.faults().size(); i++) {
            while (keeps(i, f -> new Fault(f.kind(), f.at(), half(f.length()), f.target(), f.size()))) {
                gone = true;
            }
            while (keeps(i, f -> new Fault(f.kind(), half(f.at()), f.length(), f.target(), f.size()))) {
                gone = true;
            }
        }
        return gone;
    }

    private boolean keeps(int place, UnaryOperator<Fault> change) {
        List<Fault> faults = new ArrayList<>(best.faults());
        Fault changed = change.apply(faults.remove(place));
        boolean fits = DayEdit.fits(changed, faults, best);
        faults.add(place, changed);
        return fits && keeps(DayEdit.withFaults(best, faults));
    }

    /** Whole milliseconds; what lasts goes on doing so. */
    private static Duration half(Duration span) {
        long millis = span.toMillis() / 2;
        return millis == 0 ? span : Duration.ofMillis(millis);
    }
}
